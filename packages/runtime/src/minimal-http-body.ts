/** Reads JSON bodies of messages of Node.js's HTTP module. */
import { isUtf8 } from 'node:buffer';
import type http from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';

/** The largest accepted body. Unit: bytes. @internal */
export const maxBodyBytes = 1024 * 1024;

/** The fault for a body of more than `maxBodyBytes`. @internal */
export function bodyTooLarge(): Fault {
  return fault.create({
    kind: 'too-large',
    message: `the body is larger than ${maxBodyBytes} bytes`,
    remedy: 'split the request into smaller ones',
  });
}

/** The fault for a body that is not valid JSON or is incomplete. @internal */
export function badBody(error: Error, remedy: string): Fault {
  return fault.create({ kind: 'bad-request', message: error.message, remedy });
}

function parse(bytes: Buffer): Either.Either<Fault, unknown> {
  // Decoded anyway, names that differ could become the same.
  if (!isUtf8(bytes)) return Either.left(badBody(new Error('the body is not valid UTF-8'), 'send JSON in UTF-8'));
  const text = bytes.toString('utf8');
  try {
    return Either.right(text === '' ? null : JSON.parse(text));
  } catch (error) {
    return Either.left(badBody(error as Error, 'send HTTP/1.1 with a JSON body'));
  }
}

/** Reads and parses a body; an empty body is null. Errors: `too-large`, `bad-request`. @internal */
export function readBody(message: http.IncomingMessage): Promise<Either.Either<Fault, unknown>> {
  return new Promise(function collect(resolve) {
    const chunks: Buffer[] = [];
    let length = 0;
    message.on('data', function onData(chunk: Buffer) {
      length += chunk.length;
      if (length <= maxBodyBytes) chunks.push(chunk);
    });
    message.on('error', (error) => resolve(Either.left(badBody(error, 'send the request again'))));
    message.on('end', () => resolve(length > maxBodyBytes ? Either.left(bodyTooLarge()) : parse(Buffer.concat(chunks))));
  });
}
