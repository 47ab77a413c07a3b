/**
 * Keeps each service's replica set in the register (design 7.15). Registered members are added at once. A member that is not registered any more
 * is removed when its process has ended and what it may hold is on enough others; the same proof precedes a change of the number of
 * synchronous replicas. Every core may do this: each change replaces the version of the entry that its proof was made for.
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type Instant } from '@stallstall/kernel';
import type { Entry, ReplicaSet, ReplicaSetMember } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';
import { candidates } from './candidates.js';
import { primaryOf, type ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';
import { replicaSetKey, replicaSets } from './replica-set.js';

/** @internal */
export type ReplicaSetKeeper = Readonly<{
  /** Starts what is due for a service. Called periodically. */
  tick: (service: ServicePlacement) => void;
}>;

type KeptService = {
  isRunning: boolean;
  nextRunAt: Instant;
  /** The last run found no stored set, and none was needed. */
  hasNoSet: boolean;
  /** What the last run was for. */
  lastRunFor: string;
  /** The registered members and the number of synchronous replicas for which nothing was left to do; empty while something is. */
  settledFor: string;
  /** Since when each former member that announced its departure has not replied. */
  readonly silentSince: Map<string, Instant>;
};

const retryMilliseconds = 2_000;
const proofAttempts = 5;
const proofPollMilliseconds = 40;
/** A member that announced its departure serves on for some seconds. One that is silent for this long has ended. */
const silentUntilEndedMilliseconds = 60_000;

/** Nothing listens at the member's address any more, or another member does. */
function hasEnded(failure: Fault): boolean {
  return fault.kind(failure) === 'not-listening' || fault.kind(failure) === 'departed';
}

/** What a run depends on: the members do not matter while commits wait for no replica and no set is stored. */
function describe(service: ServicePlacement, { hasNoSet }: Pick<KeptService, 'hasNoSet'>): string {
  if (hasNoSet && service.synchronousReplicas === 0) return 'no set';
  const members = service.members.map(({ member, address }) => `${member}@${address}`).sort();
  return `${service.synchronousReplicas} ${members.join(' ')}`;
}

/** Whether the process of a former member has ended. */
async function isEnded(
  { runtime, liveness }: ElectionServices,
  kept: KeptService,
  service: string,
  { member, address, hasLeft }: ReplicaSetMember,
): Promise<boolean> {
  if (address === '') return false;
  const probed = await liveness.probe(member, address, candidates.probeTimeoutMilliseconds, service);
  const now = runtime.clock.now();
  if (Either.isRight(probed)) {
    kept.silentSince.delete(member);
    return false;
  }
  if (hasEnded(probed.left)) return true;
  const since = kept.silentSince.get(member) ?? now;
  kept.silentSince.set(member, since);
  return hasLeft && now - since >= silentUntilEndedMilliseconds;
}

async function findEnded(
  services: ElectionServices,
  kept: KeptService,
  service: ServicePlacement,
  set: ReplicaSet,
): Promise<ReadonlySet<string>> {
  const former = replicaSets.former(set, service);
  const ended = await Promise.all(former.map((member) => isEnded(services, kept, service.service, member)));
  return new Set(former.filter((_, index) => ended[index]).map(({ member }) => member));
}

/** The STATE of members in reply to requests that are sent from now on. */
async function readStates(
  { runtime, liveness }: ElectionServices,
  service: string,
  members: readonly MemberPlacement[],
): Promise<readonly MemberState[]> {
  const since = runtime.clock.now();
  const replies = await Promise.all(
    members.map(async function readState({ member, address }): Promise<readonly MemberState[]> {
      const probed = await liveness.probe(member, address, candidates.probeTimeoutMilliseconds, service);
      return Either.isRight(probed) && probed.right.sentAt >= since ? [probed.right.state] : [];
    }),
  );
  return replies.flat();
}

/** The set that follows from the members' logs. The replicas are asked until they have received what the primary's log held before. */
async function prove(
  services: ElectionServices,
  service: ServicePlacement,
  set: ReplicaSet,
  ended: ReadonlySet<string>,
): Promise<ReplicaSet> {
  const primary = primaryOf(services.context, service);
  if (primary === undefined) return set;
  const primaryState = await readStates(services, service.service, [primary]);
  const replicas = service.members.filter(({ member }) => member !== primary.member);
  for (let attempt = 0; attempt < proofAttempts && primaryState.length > 0; attempt += 1) {
    const states = await readStates(services, service.service, replicas);
    const next = replicaSets.settle(set, service, { primary: primary.member, states: [...primaryState, ...states], ended });
    if (next !== set) return next;
    await services.runtime.clock.sleep(proofPollMilliseconds);
  }
  return set;
}

/** Writes the set in place of the version of the entry that it was computed from. */
async function replace({ register }: ElectionServices, service: string, version: number, next: ReplicaSet): Promise<boolean> {
  const written = await register.change(replicaSetKey(service), function replaceVersion(current) {
    const currentVersion = Option.isSome(current) ? current.value.version : 0;
    return currentVersion === version ? Option.some(next) : Option.none;
  });
  return Either.isRight(written) && written.right.wrote;
}

/** Removes members that have ended and adopts the configured number of replicas; true when nothing is left to do. */
async function settle(
  services: ElectionServices,
  kept: KeptService,
  service: ServicePlacement,
  { version, set }: Readonly<{ version: number; set: ReplicaSet }>,
): Promise<boolean> {
  const isComplete = replicaSets.former(set, service).length === 0 && set.synchronousReplicas === service.synchronousReplicas;
  if (isComplete) return true;
  const ended = await findEnded(services, kept, service, set);
  if (ended.size === 0 && set.synchronousReplicas === service.synchronousReplicas) return false;
  const next = await prove(services, service, set, ended);
  if (next === set || !(await replace(services, service.service, version, next))) return false;
  services.runtime.log('replica-set.settled', {
    service: service.service,
    members: namesOf(next),
    synchronousReplicas: next.synchronousReplicas,
  });
  for (const member of ended) kept.silentSince.delete(member);
  return replicaSets.former(next, service).length === 0;
}

function namesOf({ members }: ReplicaSet): string {
  return members.map(({ member }) => member).join(' ');
}

function setOf(entry: Option.Option<Entry>, service: ServicePlacement): ReplicaSet {
  return Option.getOrElse((): ReplicaSet => ({ synchronousReplicas: service.synchronousReplicas, members: [] }))(replicaSets.parse(entry));
}

/** True when the stored set agrees with the registered members and the configuration. */
async function run(services: ElectionServices, kept: KeptService, service: ServicePlacement): Promise<boolean> {
  const { context, register } = services;
  const read = await register.read(replicaSetKey(service.service));
  if (Either.isLeft(read)) return false;
  const isNeeded = service.synchronousReplicas > 0 || Option.isSome(read.right);
  kept.hasNoSet = !isNeeded;
  if (!isNeeded) return true;
  const version = Option.isSome(read.right) ? read.right.value.version : 0;
  const set = setOf(read.right, service);
  const admitted = replicaSets.admit(set, service, context.hasAnnouncedDeparture);
  if (admitted === set) return settle(services, kept, service, { version, set });
  if (await replace(services, service.service, version, admitted)) {
    services.runtime.log('replica-set.admitted', { service: service.service, members: namesOf(admitted) });
  }
  return false;
}

function create(services: ElectionServices): ReplicaSetKeeper {
  const { runtime, context } = services;
  const keptServices = new Map<string, KeptService>();

  function keptOf(service: string): KeptService {
    const existing = keptServices.get(service);
    if (existing !== undefined) return existing;
    const created: KeptService = {
      isRunning: false,
      nextRunAt: runtime.clock.now(),
      hasNoSet: false,
      lastRunFor: '',
      settledFor: '',
      silentSince: new Map(),
    };
    keptServices.set(service, created);
    return created;
  }

  async function runOnce(kept: KeptService, service: ServicePlacement): Promise<void> {
    kept.isRunning = true;
    kept.lastRunFor = describe(service, kept);
    const isSettled = await run(services, kept, service);
    kept.settledFor = isSettled ? describe(service, kept) : '';
    kept.nextRunAt = identifiers.after(runtime.clock.now(), retryMilliseconds);
    kept.isRunning = false;
  }

  return {
    tick: function tick(service) {
      if (Option.isNone(context.platformCalls)) return;
      const kept = keptOf(service.service);
      const current = describe(service, kept);
      if (kept.isRunning || kept.settledFor === current) return;
      if (kept.lastRunFor !== current || runtime.clock.now() >= kept.nextRunAt) void runOnce(kept, service);
    },
  };
}

/** @internal */
export const replicaSetKeeper = { create } as const;
