/** What the pooler knows of placement, as its agent feeds it (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant } from '@stallstall/kernel';
import type { Reply, MemberRecord } from '@stallstall/message';
import type { PlacementConfiguration, DatabasePlacement, Tenant } from '@stallstall/placement';

export const never: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);

/** A service's leader as this edge may use it: `until` is when its lease ends, in this process's own moments. */
export type Leadership = Readonly<{ epoch: number; primary: string; until: Instant; release: number }>;

export type View = Readonly<{
  version: number;
  sheet: Option.Option<PlacementConfiguration>;
  databases: ReadonlyMap<string, DatabasePlacement>;
  /** By key. */
  tenants: ReadonlyMap<string, Tenant>;
  leaders: ReadonlyMap<string, Leadership>;
  members: ReadonlyMap<string, MemberRecord>;
  byService: ReadonlyMap<string, readonly MemberRecord[]>;
  /** Since when each member is known to be draining; `never` where that may have been said at any time before. */
  drainingSince: ReadonlyMap<string, Instant>;
  /** How many edges hold leases, by area. */
  edges: Readonly<Record<string, number>>;
  /** Statements a second that are asked of all of them, by area. */
  demand: Readonly<Record<string, number>>;
  area: string;
  node: string;
}>;

const empty: View = {
  version: 0,
  sheet: Option.none,
  databases: new Map(),
  tenants: new Map(),
  leaders: new Map(),
  members: new Map(),
  byService: new Map(),
  drainingSince: new Map(),
  edges: {},
  demand: {},
  area: '',
  node: '',
};

function grouped(entries: readonly MemberRecord[]): ReadonlyMap<string, readonly MemberRecord[]> {
  const groups = new Map<string, MemberRecord[]>();
  for (const entry of entries) {
    const group = groups.get(entry.service);
    if (group === undefined) groups.set(entry.service, [entry]);
    else group.push(entry);
  }
  return groups;
}

/**
 * When it was first reported that a member drains, at the latest. Whoever held a lease on it as the report came was in touch with a majority
 * of cores within a term, so that the report is no older than that; to anybody else it may be of any age, and its time is over.
 */
function drainingSinceOf(before: View, entry: MemberRecord, now: Instant): Instant {
  const known = before.drainingSince.get(entry.member);
  if (known !== undefined) return known;
  const leader = before.leaders.get(entry.service);
  return leader?.primary === entry.member && leader.until > now ? now : never;
}

/** Neither a configuration nor an epoch is taken back, and a lease that was told stays true to its end, whoever feeds (design 3.4). */
function fed(before: View, reply: Reply<'placement'>, saidAt: Instant, now: Instant): View {
  const sheet =
    reply.configuration === null || reply.configuration.version <= before.version
      ? before.sheet
      : Option.some(reply.configuration.sheet as PlacementConfiguration);
  const changed = sheet !== before.sheet;
  const leaders = new Map(before.leaders);
  for (const placement of reply.services) {
    const known = before.leaders.get(placement.service);
    const until = placement.left > 0 ? identifiers.after(saidAt, placement.left) : never;
    if (known !== undefined && known.epoch > placement.epoch) continue;
    const same = known !== undefined && known.epoch === placement.epoch;
    const release = Math.max(placement.release, known?.release ?? 0);
    leaders.set(placement.service, {
      epoch: placement.epoch,
      primary: placement.primary,
      release,
      until: release > placement.epoch ? never : same && known.until > until ? known.until : until,
    });
  }
  const entries = reply.roster ?? [...before.members.values()];
  const drainingSince =
    reply.roster === null
      ? before.drainingSince
      : new Map(entries.filter((entry) => entry.draining).map((entry) => [entry.member, drainingSinceOf(before, entry, now)] as const));
  return {
    version: changed && reply.configuration !== null ? reply.configuration.version : before.version,
    sheet,
    databases:
      changed && Option.isSome(sheet) ? new Map(sheet.value.databases.map((database) => [database.database, database])) : before.databases,
    tenants:
      changed && Option.isSome(sheet)
        ? new Map(sheet.value.tenants.flatMap((tenant) => tenant.keys.map((key) => [key, tenant] as const)))
        : before.tenants,
    leaders,
    members: reply.roster === null ? before.members : new Map(entries.map((entry) => [entry.member, entry])),
    byService: reply.roster === null ? before.byService : grouped(entries),
    drainingSince,
    edges: reply.edges,
    demand: reply.demand,
    area: reply.area,
    node: reply.node,
  };
}

export const views = { empty, fed } as const;
