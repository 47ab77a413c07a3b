/** Whether a call whose outcome is unknown may be retried (design 8.14). */

/**
 * `idempotent`: the call changes nothing, or has the same effect however often and however late it arrives.
 * `deduplicated`: the call may be retried with the same content under the same number; the receiver applies it only once.
 * `never`: the call is sent only once; if its reply is lost, the caller reports that the outcome is unknown.
 */
export type RetrySafety = 'idempotent' | 'deduplicated' | 'never';
