/**
 * The compressed difference between two values of a cell, so that an accept request need not carry the complete value (design 5.7). The
 * text of the new value is split into pieces, and each piece is deflated with the old text around the same position as its dictionary.
 */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { ValueDifference } from '@stallstall/message';

/** A piece and the dictionary text before and after it together make up deflate's window of 32 kB. */
const pieceBytes = 16 * 1024;
const dictionaryMarginBytes = 8 * 1024;
/** A value with a shorter text is sent complete. */
const minimumTextBytes = 2 * 1024;

const textCache = new WeakMap<object, Buffer>();

/** The JSON text of a value. It is cached for the life of the value, since the latest value is the base of the next difference. */
function textOf(value: unknown): Buffer {
  if (typeof value !== 'object' || value === null) return Buffer.from(JSON.stringify(value) ?? 'null');
  const cached = textCache.get(value);
  if (cached !== undefined) return cached;
  const text = Buffer.from(JSON.stringify(value));
  textCache.set(value, text);
  return text;
}

function digestOf(text: Buffer): string {
  return createHash('sha256').update(text).digest('base64url');
}

/** The part of the old text around a position, with which the piece at that position is compressed. */
function dictionaryAt(baseText: Buffer, position: number): Buffer {
  return baseText.subarray(Math.max(0, position - dictionaryMarginBytes), position + pieceBytes + dictionaryMarginBytes);
}

/** The difference from `base` to `next`; undefined if the text of `next` is short or no longer than the difference. */
function between(base: unknown, next: unknown): ValueDifference | undefined {
  const baseText = textOf(base);
  const nextText = textOf(next);
  if (nextText.length < minimumTextBytes) return undefined;
  const pieces: string[] = [];
  for (let start = 0; start < nextText.length; start += pieceBytes)
    pieces.push(
      deflateRawSync(nextText.subarray(start, start + pieceBytes), { dictionary: dictionaryAt(baseText, start) }).toString('base64'),
    );
  const length = pieces.reduce((sum, piece) => sum + piece.length, 0);
  return length < nextText.length ? { pieces, digest: digestOf(nextText) } : undefined;
}

function notApplicable(cause: Error): Fault {
  return fault.create({
    kind: 'internal',
    message: 'the difference does not apply to this base value',
    remedy: 'send the complete value',
    cause,
  });
}

/** Applies a difference to its base; fails if the difference was computed from another base or is corrupt. */
function apply(base: unknown, difference: ValueDifference): Either.Either<Fault, unknown> {
  try {
    const baseText = textOf(base);
    const text = Buffer.concat(
      difference.pieces.map((piece, index) =>
        inflateRawSync(Buffer.from(piece, 'base64'), {
          dictionary: dictionaryAt(baseText, index * pieceBytes),
          maxOutputLength: pieceBytes,
        }),
      ),
    );
    if (digestOf(text) !== difference.digest) return Either.left(notApplicable(new Error('digest mismatch')));
    const value: unknown = JSON.parse(text.toString());
    if (typeof value === 'object' && value !== null) textCache.set(value, text);
    return Either.right(value);
  } catch (error) {
    return Either.left(notApplicable(error as Error));
  }
}

export const compressedDifference = { between, apply } as const;
