// The core's half of the leases: tells edges where it stands, at once when that changes (design 7.12).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, waiters, type Instant, type Kernel } from '@stallstall/kernel';
import type { Request, Reply } from '@stallstall/message';
import { marginMilliseconds, termMilliseconds } from '@stallstall/quorum-lease';
import type { MemberRegistry } from '@stallstall/member-registry';
import { later, commitWatermarkTable as markTables } from './commit-watermarks.js';

export type LeaseGrantorContext = Readonly<{
  ready: () => boolean;
  /** When this core began to answer as an occupant of its seat. */
  openedAt: () => Instant;
  epochs: () => Readonly<Record<string, number>>;
  configuration: () => number;
  membership: () => number;
  puts: () => number;
  registry: MemberRegistry;
  /** A leader is missing, or about to change: edges are to tell what they have seen. */
  isLeaderMissing: () => boolean;
  /** Members that edges were refused by: worth a look of this core's own. */
  onConnectionRefused: (member: string) => void;
}>;

export type LeaseGrantor = Readonly<{
  grant: (ask: Request<'lease'>) => Promise<Reply<'lease'>>;
  /** There is news: whoever waits is told. */
  notify: () => void;
  /** Edges that were granted a lease here within a term and its margin, so that theirs may still run; none while one that an earlier process or occupant of this seat granted may. */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Edges that asked within so many milliseconds. */
  recentHolders: (milliseconds: number) => readonly string[];
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  stop: () => void;
}>;

/** Changes within this span go out together. */
const gatherMilliseconds = 2;
/** An edge may have acknowledged what nobody else knows of: it is remembered far beyond any time without a leader. */
const rememberMilliseconds = 900_000;
/** Whoever is further behind is told everything. */
const numbersKept = 1_000;
/** An edge that was never asked says this much. */
const untoldMilliseconds = 600_000;

function create(kernel: Kernel, view: LeaseGrantorContext): LeaseGrantor {
  const token = kernel.randomness.token();
  const beganAt = kernel.clock.now();
  const askedAt = new Map<string, Instant>();
  /** When edges' processes that have ended since asked last. */
  const endedAt = new Map<string, Instant>();
  const areas = new Map<string, string>();
  const demands = new Map<string, number>();
  const released = new Map<string, Readonly<Record<string, number>>>();
  const seen = markTables.create(kernel);
  const held = waiters.create(kernel.clock);
  /** Where the roster's own number stood at each number of the news. */
  const rosterAt = new Map<number, number>();
  let number = 1;
  let gathering = false;
  let stopped = false;

  function wake(): void {
    gathering = false;
    number += 1;
    rosterAt.set(number, view.registry.version());
    rosterAt.delete(number - numbersKept);
    held.wake();
  }

  function within(milliseconds: number): readonly string[] {
    const now = kernel.clock.now();
    for (const [node, at] of askedAt) if (now - at > rememberMilliseconds) askedAt.delete(node);
    return [...askedAt].filter(([, at]) => now - at <= milliseconds).map(([node]) => node);
  }

  /** At which number of the news each stance took its value; looked at whenever it is told. */
  const stanceAt = new Map<string, Readonly<{ epoch: number; number: number }>>();
  let wasReady = false;

  function changedStances(since: number): Record<string, number> {
    const changed: Record<string, number> = {};
    for (const [service, epoch] of Object.entries(view.epochs())) {
      const known = stanceAt.get(service);
      const at = known?.epoch === epoch ? known.number : number;
      if (known?.epoch !== epoch) stanceAt.set(service, { epoch, number });
      // What changed at the number that was seen may have changed after it was told.
      if (at >= since) changed[service] = epoch;
    }
    return changed;
  }

  /** What holds of each edge that holds leases, added up by area. */
  function byArea(nodes: readonly string[], of: (node: string) => number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const node of nodes) {
      const area = areas.get(node) ?? '';
      counts[area] = (counts[area] ?? 0) + of(node);
    }
    return counts;
  }

  /** An edge that knows nothing of this core has begun anew, if it has asked here before: the process before it tells nothing more. */
  function beginAnew(node: string): void {
    const at = askedAt.get(node);
    if (at === undefined) return;
    const before = `${node} until ${at}`;
    endedAt.set(before, at);
    seen.processRestarted(node, before);
  }

  /** How far commits reach, as all edges have told that may have acknowledged one: those of ended processes among them (design 8.11). */
  function commitMarks(): ReturnType<typeof seen.all> {
    const now = kernel.clock.now();
    for (const [name, at] of endedAt) if (now - at > rememberMilliseconds) endedAt.delete(name);
    return seen.all({
      edges: [...within(rememberMilliseconds), ...endedAt.keys()],
      askedAt: new Map([...askedAt, ...endedAt]),
      unknownHoldersUntil: strangersUntil(),
    });
  }

  /** Leases that an earlier process or occupant of this seat granted have ended by then; whom it granted them to is not known here. */
  function strangersUntil(): Instant {
    return identifiers.after(later(beganAt, view.openedAt()), termMilliseconds + marginMilliseconds);
  }

  async function lease(ask: Request<'lease'>): Promise<Reply<'lease'>> {
    const cameAt = kernel.clock.now();
    if (ask.token === '') beginAnew(ask.node);
    if (!askedAt.has(ask.node)) kernel.log('lease.asked', { node: ask.node, area: ask.area });
    askedAt.set(ask.node, kernel.clock.now());
    areas.set(ask.node, ask.area);
    demands.set(ask.node, ask.demand);
    released.set(ask.node, { ...ask.released });
    // One that tells of no positions has not been asked to: nothing is known of it then.
    if (ask.positionsAgo < untoldMilliseconds) seen.report(ask.node, ask.marks, ask.positions, ask.positionsAgo);
    for (const member of ask.notListening) view.onConnectionRefused(member);
    if (ask.token === token && ask.seen === number && ask.hold > 0) await held.hold(ask.hold);
    const ready = view.ready();
    // Nothing that was told before this core was ready is built on.
    if (ready && !wasReady) stanceAt.clear();
    wasReady = ready;
    const whole = ask.token !== token;
    // The grant runs from the reply: until then and a term beyond, this edge is one to be waited out.
    askedAt.set(ask.node, kernel.clock.now());
    const holders = within(termMilliseconds + marginMilliseconds);
    const troubled = view.isLeaderMissing();
    return {
      ready,
      held: Math.max(0, kernel.clock.now() - cameAt),
      token,
      number,
      stances: ready ? changedStances(whole ? 0 : ask.seen) : {},
      configuration: view.configuration(),
      membership: view.membership(),
      puts: view.puts(),
      roster: [...view.registry.changedSince(whole ? 0 : (rosterAt.get(ask.seen) ?? 0))],
      whole,
      edges: byArea(holders, () => 1),
      demand: byArea(holders, (node) => demands.get(node) ?? 0),
      wants: troubled,
      marks: troubled ? commitMarks() : {},
    };
  }

  return {
    grant: lease,
    notify: function changed() {
      if (gathering || stopped) return;
      gathering = true;
      kernel.clock.startTimer(gatherMilliseconds, wake);
    },
    leaseHolders: () => (kernel.clock.now() < strangersUntil() ? Option.none : Option.some(within(termMilliseconds + marginMilliseconds))),
    recentHolders: within,
    hasReleased: (service, epoch, lessees) => lessees.every((node) => (released.get(node)?.[service] ?? 0) >= epoch),
    stop: function stop() {
      stopped = true;
      wake();
    },
  };
}

export const leaseGrantorService = kernels.serviceName<LeaseGrantor>('lessor');

export const leaseGrantor = { create } as const;
