/**
 * Which calls between this system's processes may be repeated when their outcome is unknown (design 8.14). A link never resends a call by
 * itself: a repeated call is a new call with a new number.
 */
import type { Repeatable } from '@stallstall/kernel';
import type { MessageKind } from '@stallstall/message';

export const repeatableCalls: Readonly<Record<MessageKind, Repeatable>> = {
  hello: 'freely',
  form: 'unchanged',
  copy: 'freely',
  join: 'freely',
  beat: 'freely',
  propose: 'never',
  prepare: 'never',
  accept: 'never',
  look: 'freely',
  adopt: 'unchanged',
  watch: 'freely',
  note: 'unchanged',
  earlier: 'freely',
  usageLook: 'freely',
  tell: 'unchanged',
  status: 'freely',
  feed: 'freely',
  spread: 'freely',
  lease: 'freely',
  placement: 'freely',
};
