/** A role that one process holds at a time, by a fencing token and a term in the register (design 7.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { registerService } from '@stallstall/register';
import { roleLeases, type RoleContext, type RoleLease } from './role-lease.js';
import { recordOf, registerMilliseconds, type RoleRecord } from './role-record.js';

export type SingletonRole = Readonly<{
  /** One attempt to take the role; none while another holder's term may still run, or while no majority of cores replies. */
  tryAcquire: () => Promise<Option.Option<RoleLease>>;
}>;

/** The record as this process read it first, and since when it has not changed. */
type Observation = Readonly<{ record: RoleRecord; since: number }>;

function isUnchanged(observed: RoleRecord, current: RoleRecord): boolean {
  return observed.turn === current.turn && observed.renewals === current.renewals;
}

/**
 * @param name - names the role in the register, as in `promotion/bookings`
 * @param self - this node's id
 * @param handoverDelayMilliseconds - should another have held the role since this process acted last, it does not take the role back
 *   before so long after that act, so that no platform sees the same two holders alternate (design 7.6)
 */
function create(runtime: Runtime, name: string, self: string, handoverDelayMilliseconds = 0): SingletonRole {
  const context: RoleContext = {
    runtime,
    register: runtime.services.find(registerService),
    key: `duty/${name}`,
    name,
    // A restarted process is another holder: what its predecessor began is not its own.
    holder: `${self}#${runtime.randomness.token()}`,
    lastAct: Option.none,
  };
  let observation: Option.Option<Observation> = Option.none;

  function observe(record: RoleRecord): void {
    if (Option.isSome(observation) && isUnchanged(observation.value.record, record)) return;
    observation = Option.some({ record, since: runtime.clock.now() });
  }

  /** Another process has held the role since this one acted, and the platform must not see this one again yet. */
  function isWithinHandoverDelay(record: RoleRecord): boolean {
    if (Option.isNone(context.lastAct)) return false;
    const { fencingToken, at } = context.lastAct.value;
    return record.turn !== fencingToken && runtime.clock.now() - at < handoverDelayMilliseconds;
  }

  /** The holder has renewed nothing for a whole term and its margin, as this process's own clock measures it. */
  function hasExpired(record: RoleRecord): boolean {
    if (Option.isNone(observation) || !isUnchanged(observation.value.record, record)) return false;
    return runtime.clock.now() - observation.value.since >= leaseTermMilliseconds + leaseMarginMilliseconds;
  }

  function isAvailable(record: RoleRecord): boolean {
    if (isWithinHandoverDelay(record)) return false;
    return record.released || hasExpired(record);
  }

  async function tryAcquire(): Promise<Option.Option<RoleLease>> {
    const read = await context.register.read(context.key, registerMilliseconds);
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
      registerMilliseconds,
    );
    if (Either.isLeft(changed) || !changed.right.wrote) return Option.none;
    const acquired = recordOf(changed.right.entry);
    if (Option.isNone(acquired) || acquired.value.holder !== context.holder) return Option.none;
    return Option.some(roleLeases.create(context, acquired.value.turn, sentAt));
  }

  return { tryAcquire };
}

export const singletonRole = { create, recordOf } as const;
