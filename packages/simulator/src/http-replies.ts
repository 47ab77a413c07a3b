/** HTTP replies as simulated clients see them. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type HttpReply } from '@stallstall/kernel';

/** The reply of an HTTP exchange; status 0 and the fault if there was none. */
export function replyOf(exchange: Either.Either<Fault, HttpReply>): HttpReply {
  return Either.isRight(exchange) ? exchange.right : { status: 0, body: fault.body(exchange.left) };
}
