/** The pooler's view of the placement, built from the agent's updates (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { Reply, MemberRecord } from '@stallstall/message';
import type { PlacementConfiguration, DatabasePlacement, Tenant } from '@stallstall/placement';

/** Earlier than any other time. */
export const never: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);

/**
 * A service's leader as this edge may use it. `leaseEnd` is measured on this process's own clock; epochs below `releaseBelow` are to be
 * released.
 */
export type Leadership = Readonly<{ epoch: number; primary: string; leaseEnd: Instant; releaseBelow: number }>;

export type View = Readonly<{
  configurationVersion: number;
  configuration: Option.Option<PlacementConfiguration>;
  databases: ReadonlyMap<string, DatabasePlacement>;
  /** The tenants by each of their keys. */
  tenantsByKey: ReadonlyMap<string, Tenant>;
  leaders: ReadonlyMap<string, Leadership>;
  members: ReadonlyMap<string, MemberRecord>;
  membersByService: ReadonlyMap<string, readonly MemberRecord[]>;
  /** When each draining member was first reported as draining; `never` when that may have been any time ago. */
  drainingSince: ReadonlyMap<string, Instant>;
  /** Number of edges that hold leases, by area. */
  edgesByArea: Readonly<Record<string, number>>;
  /** Statements per second sent by all edges, by area. */
  demandByArea: Readonly<Record<string, number>>;
  area: string;
  node: string;
}>;

const empty: View = {
  configurationVersion: 0,
  configuration: Option.none,
  databases: new Map(),
  tenantsByKey: new Map(),
  leaders: new Map(),
  members: new Map(),
  membersByService: new Map(),
  drainingSince: new Map(),
  edgesByArea: {},
  demandByArea: {},
  area: '',
  node: '',
};

function groupByService(entries: readonly MemberRecord[]): ReadonlyMap<string, readonly MemberRecord[]> {
  const groups = new Map<string, MemberRecord[]>();
  for (const entry of entries) {
    const group = groups.get(entry.service);
    if (group === undefined) groups.set(entry.service, [entry]);
    else group.push(entry);
  }
  return groups;
}

/**
 * The latest time at which the member can first have been reported as draining. If this edge listed the member as in service until the report
 * arrived, and held a lease on it, it was in contact with a majority of cores within the last lease term, so the report is no older than that
 * term. Otherwise the report may be of any age, and the member must be treated as fully drained. An agent that has just started lists no
 * members until it has reached a core.
 */
function drainingSinceOf(before: View, entry: MemberRecord, now: Instant): Instant {
  const since = before.drainingSince.get(entry.member);
  if (since !== undefined) return since;
  const wasInService = before.members.get(entry.member)?.draining === false;
  const leader = before.leaders.get(entry.service);
  return wasInService && leader?.primary === entry.member && leader.leaseEnd > now ? now : never;
}

/**
 * Applies an update of the agent. The configuration version and the epochs never go backwards, and a lease stays valid until its end even
 * if a later update, also from another agent process, doesn't include it (design 3.4).
 */
function update(before: View, reply: Reply<'placement'>, validFrom: Instant, now: Instant): View {
  const configuration =
    reply.configuration === null || reply.configuration.version <= before.configurationVersion
      ? before.configuration
      : Option.some(reply.configuration.sheet as PlacementConfiguration);
  const isConfigurationChanged = configuration !== before.configuration;
  const leaders = new Map(before.leaders);
  for (const placement of reply.services) {
    const previous = before.leaders.get(placement.service);
    const leaseEnd = placement.left > 0 ? identifiers.after(validFrom, placement.left) : never;
    if (previous !== undefined && previous.epoch > placement.epoch) continue;
    const isSameEpoch = previous !== undefined && previous.epoch === placement.epoch;
    const releaseBelow = Math.max(placement.release, previous?.releaseBelow ?? 0);
    leaders.set(placement.service, {
      epoch: placement.epoch,
      primary: placement.primary,
      releaseBelow,
      leaseEnd: releaseBelow > placement.epoch ? never : isSameEpoch && previous.leaseEnd > leaseEnd ? previous.leaseEnd : leaseEnd,
    });
  }
  const members = reply.roster ?? [...before.members.values()];
  const drainingSince =
    reply.roster === null
      ? before.drainingSince
      : new Map(members.filter((entry) => entry.draining).map((entry) => [entry.member, drainingSinceOf(before, entry, now)] as const));
  return {
    configurationVersion:
      isConfigurationChanged && reply.configuration !== null ? reply.configuration.version : before.configurationVersion,
    configuration,
    databases:
      isConfigurationChanged && Option.isSome(configuration)
        ? new Map(configuration.value.databases.map((database) => [database.database, database]))
        : before.databases,
    tenantsByKey:
      isConfigurationChanged && Option.isSome(configuration)
        ? new Map(configuration.value.tenants.flatMap((tenant) => tenant.keys.map((key) => [key, tenant] as const)))
        : before.tenantsByKey,
    leaders,
    members: reply.roster === null ? before.members : new Map(members.map((entry) => [entry.member, entry])),
    membersByService: reply.roster === null ? before.membersByService : groupByService(members),
    drainingSince,
    edgesByArea: reply.edges,
    demandByArea: reply.demand,
    area: reply.area,
    node: reply.node,
  };
}

export const views = { empty, update } as const;
