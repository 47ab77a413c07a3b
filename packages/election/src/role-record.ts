/** The register's record of a singleton role. Its field names are stored data (design 7.6). */
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { message, type Entry } from '@stallstall/message';

/** `turn` is the fencing token, which rises by one with each new holder. `renewals` counts the renewals under this token. */
const RoleRecordSchema = Type.Object({
  holder: Type.String(),
  turn: Type.Integer({ minimum: 1 }),
  renewals: Type.Integer({ minimum: 0 }),
  released: Type.Boolean(),
});
export type RoleRecord = Readonly<Static<typeof RoleRecordSchema>>;

/** Time limit for reading or changing a role's record in the register. */
export const registerTimeoutMilliseconds = 1_000;

/** The role record in a register entry; none if there is no entry, or if its value is not a role record. */
export function recordOf(entry: Option.Option<Entry>): Option.Option<RoleRecord> {
  return Option.isSome(entry) && message.matches(RoleRecordSchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
}
