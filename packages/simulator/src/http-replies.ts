/** HTTP replies as those who send requests in a simulation see them. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type HttpReply } from '@stallstall/kernel';

/** The reply of an exchange; status 0 where there was none. */
export function replyOf(exchange: Either.Either<Fault, HttpReply>): HttpReply {
  return Either.isRight(exchange) ? exchange.right : { status: 0, body: fault.body(exchange.left) };
}
