// The edge's half of the leases: asks every core, counts what a strict majority grants, and learns the news on the way (design 7.12).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, type Instant, type Kernel } from '@stallstall/kernel';
import {
  message,
  ElectedPrimarySchema,
  type Change,
  type CoreSet,
  type LogPosition,
  type CommitWatermarks,
  type Reply,
  type MemberRecord,
  type Seat,
  type ElectedPrimary,
} from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import {
  contentFetcher,
  durableReports,
  proposer,
  watcher,
  type CoreSetSource,
  type DurableReports,
  type ReportReplica,
  type RegisterReplica,
} from '@stallstall/register';
import { quorumLease, withClockDrift } from '@stallstall/quorum-lease';
import type { Configuration, Applied } from '@stallstall/node';

export type LeaseHolderSettings = Readonly<{
  node: string;
  area: string;
  /** Asked at each greeting, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
}>;

export type LeaseHolderParts = Readonly<{
  /** What the proxy has let go of: below this epoch it has nothing under way. */
  released: () => Readonly<Record<string, number>>;
  positions: () => Readonly<Record<string, LogPosition>>;
  commitWatermarks: () => CommitWatermarks;
  positionsAgo: () => number;
  /** A leader is missing somewhere: news is asked for more often. */
  isLeaderMissing: () => boolean;
  refusedMembers: () => readonly string[];
  demand: () => number;
  onChange: () => void;
}>;

export type LeaseHolder = Readonly<{
  start: () => void;
  stop: () => void;
  configuration: () => Option.Option<Applied<Configuration>>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  services: () => readonly string[];
  /** When the lease for a service at its settled epoch ends; in the past when no majority of cores grants it. */
  leaseUntil: (service: string) => Instant;
  /** The highest epoch that a core has told for a service: below it nothing is begun any more once the lease is gone. */
  releaseEpoch: (service: string) => number;
  members: () => readonly MemberRecord[];
  membersVersion: () => number;
  /** How many edges hold leases, by area, as the core that counts most of them says. */
  edges: () => Readonly<Record<string, number>>;
  /** What is asked of all of them, by area, as the same core says. */
  demand: () => Readonly<Record<string, number>>;
  /** How far each service's commits reach as a majority of cores covers it, and as of which of this process's own moments. */
  commitWatermarks: () => ReadonlyMap<string, Readonly<{ position: LogPosition; at: Instant }>>;
  durableReports: DurableReports;
  coreCount: () => number;
  /** How many cores granted within the last term. */
  grantingCores: () => number;
  /** Has each core told what the proxy says now, at once. */
  reportNow: () => void;
  /** The proxy's process has ended: each core is told that what it acknowledged last may have been told to nobody (design 8.11). */
  proxyRestarted: () => void;
}>;

/** The last told of one core. */
type Told = {
  readonly roster: Map<string, MemberRecord>;
  token: string;
  seen: number;
  stances: Readonly<Record<string, number>>;
  edges: Readonly<Record<string, number>>;
  demand: Readonly<Record<string, number>>;
  at: Instant;
  acknowledged: number;
  wants: boolean;
  /** The next ask is that of an edge which begins anew. */
  anew: boolean;
};
type Mark = Readonly<{ position: LogPosition; at: Instant }>;
type Held = Readonly<{ address: string; peer: Peer }>;

const holdMilliseconds = 700;
const troubledHoldMilliseconds = 120;
const callMilliseconds = 500;
/** Told where nobody wants to know. */
const untoldMilliseconds = 3_600_000;
const redialLookMilliseconds = 20;
const greetMilliseconds = 50;
const resolveMilliseconds = 200;
const retryMilliseconds = 120;
/** After so long without a grant the seeds are asked as well: all known cores may have been replaced (design 4.8). */
const lostMilliseconds = 5_000;

function sum(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0);
}

function create(kernel: Kernel, settings: LeaseHolderSettings, parts: LeaseHolderParts): LeaseHolder {
  const grants = quorumLease.create();
  const held = new Map<string, Held>();
  const told = new Map<string, Told>();
  const floors = new Map<string, number>();
  const marks = new Map<string, ReadonlyMap<string, Mark>>();
  /** A lease that an earlier set granted runs to its end: the next step but one waits for that (design 4.8). */
  const carried = new Map<string, Readonly<{ epoch: number; until: Instant }>>();
  const greeting = new Set<string>();
  let cores: readonly Seat[] = [];
  let setNumber = 0;
  let fleetName = '';
  let grantedAt = kernel.clock.now();
  let rosterNumber = 0;
  let stopped = false;
  const seat: Seat = { node: settings.node, role: 'edge', area: settings.area, address: '-', outward: '-', draining: false };

  function targets(): readonly RegisterReplica[] {
    return cores.map((core): RegisterReplica => ({
      core: core.node,
      send: function ask(kind, body, milliseconds) {
        const link = held.get(core.node);
        return link === undefined ? Promise.resolve(Option.none) : link.peer.call(kind, body, milliseconds);
      },
    }));
  }

  function noteTargets(): readonly ReportReplica[] {
    return cores.map((core): ReportReplica => (body, milliseconds) => {
      const link = held.get(core.node);
      return link === undefined ? Promise.resolve(Option.none) : link.peer.call('note', body, milliseconds);
    });
  }

  const sets: CoreSetSource = { number: () => setNumber, observe: follow };
  const register = proposer.create(kernel, settings.node, targets, () => cores.length, sets);
  const noted = durableReports.create(noteTargets, () => cores.length, sets);
  const watch = watcher.create(
    kernel,
    register,
    () => cores.length,
    function obeyed(key, entry) {
      kernel.log('lessee.obeyed', { key, version: entry.version });
      parts.onChange();
    },
    { number: () => setNumber, includes: (core) => cores.some((one) => one.node === core) },
  );

  /** The newest set of cores that any core told of; whoever has left it grants nothing any more (design 4.8). */
  function follow(set: CoreSet): void {
    if (stopped || set.number <= setNumber) return;
    kernel.log('lessee.follows', { set: set.number, cores: set.seats.length });
    for (const service of services()) {
      const known = settled(service);
      if (Option.isSome(known)) carried.set(service, { epoch: known.value.epoch, until: leaseUntil(service) });
    }
    setNumber = set.number;
    cores = set.seats;
    for (const [core, link] of held) {
      if (names().includes(core)) continue;
      held.delete(core);
      told.delete(core);
      link.peer.close();
    }
    for (const core of cores) hold(core);
    rosterNumber += 1;
    watch.recount();
    noteFloors();
    parts.onChange();
  }

  function configuration(): Option.Option<Applied<Configuration>> {
    const entry = watch.applied('configuration');
    return Option.isSome(entry) ? Option.some({ version: entry.value.version, value: entry.value.value as Configuration }) : Option.none;
  }

  function settled(service: string): Option.Option<ElectedPrimary> {
    const entry = watch.applied(`epoch/${service}`);
    return Option.isSome(entry) && message.matches(ElectedPrimarySchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
  }

  function services(): readonly string[] {
    const current = configuration();
    return Option.isSome(current) ? current.value.value.sheet.services.map((service) => service.service) : [];
  }

  function names(): readonly string[] {
    return cores.map((core) => core.node);
  }

  function leaseUntil(service: string): Instant {
    const known = settled(service);
    if (Option.isNone(known) || known.value.epoch < (floors.get(service) ?? 0)) return identifiers.instant(Number.NEGATIVE_INFINITY);
    const { epoch } = known.value;
    const until = grants.until(service, epoch, names(), cores.length, true, false);
    const before = carried.get(service);
    return before !== undefined && before.epoch === epoch && before.until > until ? before.until : until;
  }

  /** Once a majority stands beyond the settled epoch the lease is gone for good: it is let go, and not taken up again (design 7.12). */
  function noteFloors(): void {
    for (const service of services()) {
      const stances = names().map((core) => told.get(core)?.stances[service] ?? 0);
      const beyond = quorum.reachedByMajority(stances, cores.length, false);
      if (beyond > (floors.get(service) ?? 0)) floors.set(service, beyond);
    }
  }

  function toldOf(core: string): Told {
    let known = told.get(core);
    if (known === undefined) {
      known = {
        roster: new Map(),
        token: '',
        seen: 0,
        stances: {},
        edges: {},
        demand: {},
        at: identifiers.instant(Number.NEGATIVE_INFINITY),
        acknowledged: 0,
        wants: false,
        anew: false,
      };
      told.set(core, known);
    }
    return known;
  }

  function takeRoster(known: Told, reply: Reply<'lease'>): void {
    if (reply.whole) known.roster.clear();
    if (reply.whole || reply.roster.length > 0) rosterNumber += 1;
    for (const entry of reply.roster) known.roster.set(entry.member, entry);
  }

  /** Of all that the cores tell of a member the latest stands; it is down only if every core that knows it says so. */
  function roster(): readonly MemberRecord[] {
    const merged = new Map<string, MemberRecord>();
    for (const known of told.values()) {
      for (const entry of known.roster.values()) {
        const before = merged.get(entry.member);
        if (before === undefined) {
          merged.set(entry.member, entry);
          continue;
        }
        const later = entry.gone !== before.gone ? (entry.gone ? entry : before) : entry.sequence > before.sequence ? entry : before;
        merged.set(entry.member, { ...later, down: entry.down && before.down });
      }
    }
    return [...merged.values()].filter((entry) => !entry.gone);
  }

  /** The core that counts most edges knows most of what is asked of them. */
  function fullest(): Readonly<Pick<Told, 'edges' | 'demand'>> {
    let most: Readonly<Pick<Told, 'edges' | 'demand'>> = { edges: {}, demand: {} };
    for (const known of told.values()) if (sum(known.edges) > sum(most.edges)) most = known;
    return most;
  }

  function wanted(): boolean {
    return [...told.values()].some((known) => known.wants);
  }

  /** Only what is yet to be settled: what lies behind nobody waits for. */
  function pending(all: Readonly<Record<string, number>>): Record<string, number> {
    return Object.fromEntries(
      Object.entries(all).filter(([service, epoch]) => {
        const known = settled(service);
        return Option.isNone(known) || epoch > known.value.epoch;
      }),
    );
  }

  /** One core hands configurations over whole: one of this edge's own area where there is one, not the same for all edges (design 5.6). */
  function contentCore(): string {
    const linked = cores.filter((core) => held.get(core.node)?.peer.connected() === true);
    const near = linked.filter((core) => core.area === settings.area);
    const choices = near.length > 0 ? near : linked;
    const sum = [...settings.node].reduce((total, letter) => total + letter.charCodeAt(0), 0);
    return choices[sum % Math.max(1, choices.length)]?.node ?? '';
  }

  const changes = contentFetcher.create(kernel, { set: () => setNumber, deliver: watch.receive, stopped: () => stopped });

  async function ask(core: string, link: Peer, hold: number): Promise<boolean> {
    const known = toldOf(core);
    const { anew } = known;
    const sentAt = kernel.clock.now();
    const current = configuration();
    const reply = await link.call(
      'lease',
      {
        node: settings.node,
        area: settings.area,
        token: anew ? '' : known.token,
        seen: anew ? 0 : known.seen,
        hold,
        acknowledged: known.acknowledged,
        obeyed: Option.isSome(current) ? current.value.version : 0,
        released: pending(parts.released()),
        ...(wanted()
          ? { positions: { ...parts.positions() }, marks: { ...parts.commitWatermarks() }, positionsAgo: parts.positionsAgo() }
          : { positions: {}, marks: {}, positionsAgo: untoldMilliseconds }),
        notListening: [...parts.refusedMembers()],
        demand: parts.demand(),
        content: core === contentCore(),
        holds: changes.latestBallot(),
        set: setNumber,
      },
      hold + callMilliseconds,
    );
    if (Option.isNone(reply) || held.get(core)?.peer !== link) return false;
    if (anew) known.anew = false;
    // What the core says was so when it replied, and that was not before it had held the question for so long.
    take(core, known, reply.value, identifiers.after(sentAt, withClockDrift(reply.value.held)));
    return true;
  }

  function take(core: string, known: Told, reply: Reply<'lease'>, saidAt: Instant): void {
    // A reply overtaken by a later one of the same process tells nothing new.
    if (known.token === reply.token && reply.number < known.seen) return;
    takeRoster(known, reply);
    known.token = reply.token;
    known.seen = reply.number;
    known.edges = reply.edges;
    known.demand = reply.demand;
    known.at = saidAt;
    // Taken whatever else the reply says: later replies tell only what has changed since.
    known.stances = reply.whole ? reply.stances : { ...known.stances, ...reply.stances };
    known.wants = reply.wants;
    if (reply.newer !== undefined) follow(reply.newer);
    // A core at a later set than this edge counts nothing here: its set's elections need not meet this edge's majority (design 4.8).
    if (!reply.ready || (reply.set ?? 0) > setNumber || !names().includes(core)) return;
    grantedAt = kernel.clock.now();
    takeMarks(core, reply.marks, saidAt);
    noteFloors();
    grants.heard(core, { sentAt: saidAt, epochs: known.stances });
    parts.onChange();
  }

  /** `saidAt` is no later than the reply was made, so what held so long before the reply held later than so long before that. */
  function takeMarks(core: string, toldMarks: CommitWatermarks, saidAt: Instant): void {
    marks.set(
      core,
      new Map(
        Object.entries(toldMarks).map(([service, mark]) => [
          service,
          { at: identifiers.after(saidAt, -mark.ago), position: { term: mark.term, number: mark.number } },
        ]),
      ),
    );
  }

  function further(left: LogPosition, right: LogPosition): LogPosition {
    return left.term > right.term || (left.term === right.term && left.number >= right.number) ? left : right;
  }

  /**
   * A core speaks for the edges that asked it. Whoever holds a lease asked a majority, so what a majority of cores covers is covered for
   * all edges: up to the moment that a majority has reached, by the furthest position any of these tells (design 8.11).
   */
  function merged(): ReadonlyMap<string, Mark> {
    const all = new Map<string, Mark>();
    for (const service of services()) {
      const told = names().flatMap((core) => {
        const mark = marks.get(core)?.get(service);
        return mark === undefined ? [] : [mark];
      });
      const at = quorum.reachedByMajority(
        told.map((mark) => mark.at),
        cores.length,
        false,
      );
      if (at === Number.NEGATIVE_INFINITY) continue;
      all.set(service, {
        at: identifiers.instant(at),
        position: told
          .filter((mark) => mark.at >= at)
          .map((mark) => mark.position)
          .reduce(further),
      });
    }
    return all;
  }

  async function task(core: string, link: Peer): Promise<void> {
    while (!stopped && held.get(core)?.peer === link) {
      if (!link.connected()) {
        await kernel.clock.sleep(redialLookMilliseconds);
        continue;
      }
      const replied = await ask(core, link, parts.isLeaderMissing() ? troubledHoldMilliseconds : holdMilliseconds);
      if (!replied) await kernel.clock.sleep(retryMilliseconds);
    }
  }

  function hold(core: Seat): void {
    const known = held.get(core.node);
    if (known !== undefined && known.address === core.address) return;
    known?.peer.close();
    const link = peer.dial(kernel, identifiers.address(core.address), {
      connected: function connected() {
        toldOf(core.node).acknowledged = 0;
      },
      changed: function changed(change: Change) {
        toldOf(core.node).acknowledged = change.number;
        changes.receive(core.node, Option.some(link), change);
      },
    });
    held.set(core.node, { address: core.address, peer: link });
    void task(core.node, link);
  }

  // -- Finding the cores through the seeds (design 3.3).

  function lost(): boolean {
    return cores.length === 0 || kernel.clock.now() - grantedAt > lostMilliseconds;
  }

  async function greet(address: string): Promise<void> {
    const link = peer.dial(kernel, identifiers.address(address));
    while (!stopped && lost() && settings.seeds().includes(address)) {
      const reply = await link.call('hello', { seat, incarnation: 0, fleet: fleetName }, callMilliseconds);
      if (
        Option.isSome(reply) &&
        reply.value.fleet !== '' &&
        (fleetName === '' || reply.value.fleet === fleetName) &&
        reply.value.set !== undefined
      ) {
        if (fleetName === '') kernel.log('lessee.found', { fleet: reply.value.fleet, cores: reply.value.set.seats.length });
        fleetName = reply.value.fleet;
        follow(reply.value.set);
      }
      await kernel.clock.sleep(link.connected() ? greetMilliseconds : redialLookMilliseconds);
    }
    link.close();
    greeting.delete(address);
  }

  function greetSeeds(): void {
    if (!lost()) return;
    for (const address of settings.seeds()) {
      if (greeting.has(address)) continue;
      greeting.add(address);
      void greet(address);
    }
  }

  return {
    start: function start() {
      void kernels.every(
        kernel.clock,
        resolveMilliseconds,
        function look() {
          greetSeeds();
          watch.resolve();
        },
        () => !stopped,
      );
    },
    stop: function stop() {
      stopped = true;
      for (const link of held.values()) link.peer.close();
    },
    configuration,
    electedPrimary: settled,
    services,
    leaseUntil,
    releaseEpoch: (service) => floors.get(service) ?? 0,
    members: roster,
    membersVersion: () => rosterNumber,
    edges: () => fullest().edges,
    demand: () => fullest().demand,
    commitWatermarks: merged,
    durableReports: noted,
    coreCount: () => cores.length,
    grantingCores: () => names().filter((core) => kernel.clock.now() - toldOf(core).at < 2_000).length,
    reportNow: function tell() {
      for (const [core, link] of held) if (link.peer.connected()) void ask(core, link.peer, 0);
    },
    proxyRestarted: function beginAnew() {
      for (const known of told.values()) known.anew = true;
    },
  };
}

export const leaseHolder = { create } as const;
