/**
 * Which calls between this system's processes may be repeated when their outcome is unknown (design 8.14). A link never resends a call by
 * itself: a repeated call is a new call with a new number.
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
