/** What the register holds of a singleton role. The field names are those of stored data (design 7.6). */
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { message, type Entry } from '@stallstall/message';

/** `turn` is the fencing token: it rises by one with each new holder. `renewals` counts the renewals under this token. */
const RoleRecordSchema = Type.Object({
  holder: Type.String(),
  turn: Type.Integer({ minimum: 1 }),
  renewals: Type.Integer({ minimum: 0 }),
  released: Type.Boolean(),
});
export type RoleRecord = Readonly<Static<typeof RoleRecordSchema>>;

/** How long the register is given to read or change a role's record. */
export const registerMilliseconds = 1_000;

/** The record that an entry holds; none where there is no entry, or one that is not a role's. */
export function recordOf(entry: Option.Option<Entry>): Option.Option<RoleRecord> {
  return Option.isSome(entry) && message.matches(RoleRecordSchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
}
