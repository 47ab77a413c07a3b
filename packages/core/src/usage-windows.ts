/** Usage windows as the register keeps them: each is fixed once, before it is first sent (design 8.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import type { Fault } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import { retainedUsageWindows, type Register } from '@stallstall/register';

/** `counts`: statements that began to run in the window, by tenant or service. The field names are those of stored data. */
const UsageSchema = Type.Object({
  windows: Type.Array(
    Type.Object({
      window: Type.Integer({ minimum: 0 }),
      counts: Type.Record(Type.String(), Type.Integer({ minimum: 0 })),
      sent: Type.Boolean(),
    }),
  ),
});
export type UsageWindow = Readonly<Static<typeof UsageSchema>['windows'][number]>;

const usageKey = 'usage';
const registerMilliseconds = 1_000;
const fixMilliseconds = 1_500;
const windowsKept = 2 * retainedUsageWindows;

function windowsOf(entry: Option.Option<Entry>): readonly UsageWindow[] {
  return Option.isSome(entry) && message.matches(UsageSchema, entry.value.value) ? entry.value.value.windows : [];
}

/** The windows that are fixed, the oldest first. */
async function read(register: Register): Promise<Either.Either<Fault, readonly UsageWindow[]>> {
  return Either.map(windowsOf)(await register.read(usageKey, registerMilliseconds));
}

/** `isNew` is false where another holder of the role has fixed the window before; none while no majority of cores replies. */
async function fix(
  register: Register,
  window: number,
  counts: Readonly<Record<string, number>>,
): Promise<Option.Option<Readonly<{ fixed: UsageWindow; isNew: boolean }>>> {
  const changed = await register.change(
    usageKey,
    function next(current) {
      const windows = windowsOf(current);
      if (windows.some((known) => known.window >= window)) return Option.none;
      return Option.some({ windows: [...windows, { window, counts: { ...counts }, sent: false }].slice(-windowsKept) });
    },
    fixMilliseconds,
  );
  if (Either.isLeft(changed)) return Option.none;
  const fixed = windowsOf(changed.right.entry).find((known) => known.window === window);
  return fixed === undefined ? Option.none : Option.some({ fixed, isNew: changed.right.wrote });
}

/** Keeps that the platform has taken a window. */
async function markSent(register: Register, window: number): Promise<void> {
  await register.change(
    usageKey,
    function next(current) {
      const windows = windowsOf(current);
      const isUnsent = windows.some((known) => known.window === window && !known.sent);
      if (!isUnsent) return Option.none;
      return Option.some({ windows: windows.map((known) => (known.window === window ? { ...known, sent: true } : known)) });
    },
    registerMilliseconds,
  );
}

/** @internal */
export const usageWindows = { read, fix, markSent } as const;
