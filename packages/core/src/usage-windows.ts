/** Usage windows in the register. Each is finalized once, before it is first sent (design 8.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import type { Fault } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import { retainedUsageWindows, type Register } from '@stallstall/register';

/** `counts`: statements that started in the window, by tenant or service. The field names are those of stored data. */
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
const registerTimeoutMilliseconds = 1_000;
const finalizeTimeoutMilliseconds = 1_500;
const maxWindows = 2 * retainedUsageWindows;

function windowsOf(entry: Option.Option<Entry>): readonly UsageWindow[] {
  return Option.isSome(entry) && message.matches(UsageSchema, entry.value.value) ? entry.value.value.windows : [];
}

/** The finalized windows, oldest first. */
async function read(register: Register): Promise<Either.Either<Fault, readonly UsageWindow[]>> {
  return Either.map(windowsOf)(await register.read(usageKey, registerTimeoutMilliseconds));
}

/** Finalizes a window. `isNew` is false if another holder of the role has finalized it before; none without a majority of cores. */
async function finalize(
  register: Register,
  window: number,
  counts: Readonly<Record<string, number>>,
): Promise<Option.Option<Readonly<{ finalized: UsageWindow; isNew: boolean }>>> {
  const changed = await register.change(
    usageKey,
    function next(current) {
      const windows = windowsOf(current);
      if (windows.some((existing) => existing.window >= window)) return Option.none;
      return Option.some({ windows: [...windows, { window, counts: { ...counts }, sent: false }].slice(-maxWindows) });
    },
    finalizeTimeoutMilliseconds,
  );
  if (Either.isLeft(changed)) return Option.none;
  const finalized = windowsOf(changed.right.entry).find((existing) => existing.window === window);
  return finalized === undefined ? Option.none : Option.some({ finalized, isNew: changed.right.wrote });
}

/** Records that the platform has accepted a window. */
async function markSent(register: Register, window: number): Promise<void> {
  await register.change(
    usageKey,
    function next(current) {
      const windows = windowsOf(current);
      const isUnsent = windows.some((existing) => existing.window === window && !existing.sent);
      if (!isUnsent) return Option.none;
      return Option.some({ windows: windows.map((existing) => (existing.window === window ? { ...existing, sent: true } : existing)) });
    },
    registerTimeoutMilliseconds,
  );
}

/** @internal */
export const usageWindows = { read, finalize, markSent } as const;
