/**
 * Which calls between own processes may be made again once their fate is not known (design 8.14). No link ever sends one twice by itself:
 * a call made again is another call, with another number.
 */
import type { RetrySafety } from '@stallstall/kernel';
import type { MessageKind } from '@stallstall/message';

export const repeatableCalls: Readonly<Record<MessageKind, RetrySafety>> = {
  hello: 'idempotent',
  form: 'deduplicated',
  copy: 'idempotent',
  join: 'idempotent',
  beat: 'idempotent',
  propose: 'never',
  prepare: 'never',
  accept: 'never',
  look: 'idempotent',
  adopt: 'deduplicated',
  watch: 'idempotent',
  note: 'deduplicated',
  earlier: 'idempotent',
  usageLook: 'idempotent',
  tell: 'deduplicated',
  status: 'idempotent',
  feed: 'idempotent',
  spread: 'idempotent',
  lease: 'idempotent',
  placement: 'idempotent',
};
