/** Whether a call whose fate is not known may be made again (design 8.14). */

/**
 * `freely`: it changes nothing, or what it changes is the same however often and however late it comes.
 * `unchanged`: again with the same content under the same number; the receiver takes it once.
 * `never`: it leaves once, and its sender says that the outcome is not known.
 */
export type RetrySafety = 'idempotent' | 'deduplicated' | 'never';
