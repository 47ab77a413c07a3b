/** Reads JSON bodies with the HTTP of the runtime. */
import type http from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';

/** The longest body that is read. Unit: bytes. @internal */
export const longestBody = 1024 * 1024;

/** A body over `longestBody`. @internal */
export function bodyTooLarge(): Fault {
  return fault.create({ kind: 'too-large', message: `the body is over ${longestBody} bytes`, remedy: 'send less at a time' });
}

/** A body that is no JSON, or broke off. @internal */
export function badBody(error: Error, remedy: string): Fault {
  return fault.create({ kind: 'bad-request', message: error.message, remedy });
}

function parse(text: string): Either.Either<Fault, unknown> {
  try {
    return Either.right(text === '' ? null : JSON.parse(text));
  } catch (error) {
    return Either.left(badBody(error as Error, 'send HTTP/1.1 with a JSON body'));
  }
}

/** Right with null for an empty body. Errors: `too-large`, `bad-request`. @internal */
export function readBody(message: http.IncomingMessage): Promise<Either.Either<Fault, unknown>> {
  return new Promise(function collect(resolve) {
    const pieces: Buffer[] = [];
    let length = 0;
    message.on('data', function onData(piece: Buffer) {
      length += piece.length;
      if (length <= longestBody) pieces.push(piece);
    });
    message.on('error', (error) => resolve(Either.left(badBody(error, 'send it again'))));
    message.on('end', () => resolve(length > longestBody ? Either.left(bodyTooLarge()) : parse(Buffer.concat(pieces).toString('utf8'))));
  });
}
