/** A role that only one process holds at a time, under a fencing token and a term kept in the register (design 7.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { registerService } from '@stallstall/register';
import { roleLeases, type RoleContext, type RoleLease } from './role-lease.js';
import { recordOf, registerTimeoutMilliseconds, type RoleRecord } from './role-record.js';

export type SingletonRole = Readonly<{
  /** Tries once to acquire the role; none while another holder's term may still be running, or while no majority of cores replies. */
  tryAcquire: () => Promise<Option.Option<RoleLease>>;
}>;

/** The latest state of the record that this process has read, and when it first read it in that state. */
type Observation = Readonly<{ record: RoleRecord; since: number }>;

function isUnchanged(observed: RoleRecord, current: RoleRecord): boolean {
  return observed.turn === current.turn && observed.renewals === current.renewals;
}

/**
 * @param name - names the role in the register, as in `promotion/bookings`
 * @param self - this node's id
 * @param handoverDelayMilliseconds - if another process has held the role since this one last called the platform, this one does not
 *   acquire the role again until this long after its own last call, so that the platform does not see two holders alternate (design 7.6)
 */
function create(runtime: Runtime, name: string, self: string, handoverDelayMilliseconds = 0): SingletonRole {
  const context: RoleContext = {
    runtime,
    register: runtime.services.find(registerService),
    key: `duty/${name}`,
    name,
    // A restarted process is a different holder: calls that the earlier process had started are not its own.
    holder: `${self}#${runtime.randomness.token()}`,
    lastCall: Option.none,
  };
  let observation: Option.Option<Observation> = Option.none;

  function observe(record: RoleRecord): void {
    if (Option.isSome(observation) && isUnchanged(observation.value.record, record)) return;
    observation = Option.some({ record, since: runtime.clock.now() });
  }

  /** Whether another process has held the role since this one last called the platform, and the delay after that call is not over. */
  function isWithinHandoverDelay(record: RoleRecord): boolean {
    if (Option.isNone(context.lastCall)) return false;
    const { fencingToken, at } = context.lastCall.value;
    return record.turn !== fencingToken && runtime.clock.now() - at < handoverDelayMilliseconds;
  }

  /** Whether the holder has not renewed for a whole term and its margin, measured by this process's own clock. */
  function hasExpired(record: RoleRecord): boolean {
    if (Option.isNone(observation) || !isUnchanged(observation.value.record, record)) return false;
    return runtime.clock.now() - observation.value.since >= leaseTermMilliseconds + leaseMarginMilliseconds;
  }

  function isAvailable(record: RoleRecord): boolean {
    if (isWithinHandoverDelay(record)) return false;
    return record.released || hasExpired(record);
  }

  async function tryAcquire(): Promise<Option.Option<RoleLease>> {
    const read = await context.register.read(context.key, registerTimeoutMilliseconds);
    if (Either.isLeft(read)) return Option.none;
    const current = recordOf(read.right);
    if (Option.isSome(current)) {
      observe(current.value);
      if (!isAvailable(current.value)) return Option.none;
    }
    const sentAt = runtime.clock.now();
    const changed = await context.register.change(
      context.key,
      function acquire(entry) {
        const record = recordOf(entry);
        if (Option.isNone(record)) return Option.some({ holder: context.holder, turn: 1, renewals: 0, released: false });
        if (!isAvailable(record.value)) return Option.none;
        return Option.some({ holder: context.holder, turn: record.value.turn + 1, renewals: 0, released: false });
      },
      registerTimeoutMilliseconds,
    );
    if (Either.isLeft(changed) || !changed.right.wrote) return Option.none;
    const acquired = recordOf(changed.right.entry);
    if (Option.isNone(acquired) || acquired.value.holder !== context.holder) return Option.none;
    return Option.some(roleLeases.create(context, acquired.value.turn, sentAt));
  }

  return { tryAcquire };
}

export const singletonRole = { create, recordOf } as const;
