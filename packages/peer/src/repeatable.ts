/**
 * Which calls between own processes may be made again once their fate is not known (design 8.14). No link ever sends one twice by itself:
 * a call made again is another call, with another number.
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
