/**
 * What differs between two values of a cell, so that a ballot need not carry the whole (design 5.7). The new value's text is
 * compressed in pieces, each against the stretch of the old text around the same place.
 */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { ValueDifference } from '@stallstall/message';

/** Deflate looks back over a window of 32 kB: a piece and the window's two overhangs make one. */
const pieceBytes = 16 * 1024;
const overhangBytes = 8 * 1024;
/** A value whose text is shorter goes whole. */
const leastBytes = 2 * 1024;

const texts = new WeakMap<object, Buffer>();

/** The text of a value; kept as long as the value is, for what was just written is the base of the next. */
function textOf(value: unknown): Buffer {
  if (typeof value !== 'object' || value === null) return Buffer.from(JSON.stringify(value) ?? 'null');
  const known = texts.get(value);
  if (known !== undefined) return known;
  const text = Buffer.from(JSON.stringify(value));
  texts.set(value, text);
  return text;
}

function digestOf(text: Buffer): string {
  return createHash('sha256').update(text).digest('base64url');
}

function stretchOf(base: Buffer, from: number): Buffer {
  return base.subarray(Math.max(0, from - overhangBytes), from + pieceBytes + overhangBytes);
}

/** Undefined where the whole is short, or would be no longer than its difference. */
function between(base: unknown, next: unknown): ValueDifference | undefined {
  const from = textOf(base);
  const to = textOf(next);
  if (to.length < leastBytes) return undefined;
  const pieces: string[] = [];
  for (let start = 0; start < to.length; start += pieceBytes)
    pieces.push(deflateRawSync(to.subarray(start, start + pieceBytes), { dictionary: stretchOf(from, start) }).toString('base64'));
  const length = pieces.reduce((sum, piece) => sum + piece.length, 0);
  return length < to.length ? { pieces, digest: digestOf(to) } : undefined;
}

function notJoined(cause: Error): Fault {
  return fault.create({
    kind: 'internal',
    message: 'a difference does not fit the value it was sent for',
    remedy: 'send the whole',
    cause,
  });
}

/** The value that a difference leads to; left where the base is not the one that it was taken from. */
function apply(base: unknown, difference: ValueDifference): Either.Either<Fault, unknown> {
  try {
    const from = textOf(base);
    const text = Buffer.concat(
      difference.pieces.map((piece, index) =>
        inflateRawSync(Buffer.from(piece, 'base64'), { dictionary: stretchOf(from, index * pieceBytes), maxOutputLength: pieceBytes }),
      ),
    );
    if (digestOf(text) !== difference.digest) return Either.left(notJoined(new Error('the digests differ')));
    const value: unknown = JSON.parse(text.toString());
    if (typeof value === 'object' && value !== null) texts.set(value, text);
    return Either.right(value);
  } catch (error) {
    return Either.left(notJoined(error as Error));
  }
}

export const compressedDifference = { between, apply } as const;
