// The agent of an edge that holds leases: no vote, no seat in the table; it feeds its proxy with placement (design 7.12, 8.10).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, waiters, type Instant, type Kernel, type Listening } from '@stallstall/kernel';
import type { Request, LogPosition, CommitWatermarks, Placement, Reply } from '@stallstall/message';
import { peer, type Caller } from '@stallstall/peer';
import { leaseHolder as lessees } from '@stallstall/lease';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';

export type LeaseAgentSettings = Readonly<{ node: string; area: string; feed: string; seeds: () => readonly string[] }>;
export type LeaseAgent = Readonly<{ drain: () => Promise<void>; stop: () => Promise<void> }>;

const graceMilliseconds = 5_600;
/** A proxy that asks this often misses a leader somewhere. */
export const troubledHoldMilliseconds = 100;
const serialsKept = 100;
const endingHoldMilliseconds = 50;
/** Nothing is known of what the proxy has told its senders. */
const noPositionsMilliseconds = 3_600_000;
const drainLookMilliseconds = 10;
const drainLeastMilliseconds = 300;

async function start(kernel: Kernel, settings: LeaseAgentSettings): Promise<LeaseAgent> {
  const token = kernel.randomness.token();
  const asking = waiters.create(kernel.clock);
  let number = 1;
  let gathering = false;
  let released: Readonly<Record<string, number>> = {};
  let positions: Readonly<Record<string, LogPosition>> = {};
  /** As the proxy told them, with the moment it asked. */
  let seenMarks: CommitWatermarks = {};
  /** What the proxy told last was all there was at this moment or later. */
  let positionsAt: Instant | undefined;
  let troubled = false;
  let demand = 0;
  let serial = 0;
  const repliedAt = new Map<number, Instant>();
  let notListening: readonly string[] = [];
  let wasAsked = false;
  let askedAt: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);
  let said = '';
  let rosterAt = -1;
  let rosterNumber = 0;
  /** The link its proxy asks over. */
  let proxy: Caller | undefined;
  let telling = 0;
  let ending = false;
  /** What the proxy would see: a change of it wakes whoever waits. */
  let seenBefore = '';

  const lessee = lessees.create(
    kernel,
    { node: settings.node, area: settings.area, seeds: settings.seeds },
    {
      released: () => released,
      positions: () => positions,
      commitWatermarks: aged,
      positionsAgo: () => (positionsAt === undefined ? noPositionsMilliseconds : Math.max(0, kernel.clock.now() - positionsAt)),
      isLeaderMissing: () => troubled,
      refusedMembers: () => notListening,
      demand: () => demand,
      onChange: changed,
    },
  );

  /** What the proxy saw so long before it asked was seen that much longer ago by now. */
  function aged(): CommitWatermarks {
    const since = Math.max(0, kernel.clock.now() - askedAt);
    return Object.fromEntries(Object.entries(seenMarks).map(([service, mark]) => [service, { ...mark, ago: mark.ago + since }]));
  }

  function placements(): readonly Placement[] {
    const now = kernel.clock.now();
    return lessee.services().map((service): Placement => {
      const settled = lessee.electedPrimary(service);
      return {
        service,
        epoch: Option.isSome(settled) ? settled.value.epoch : 0,
        primary: Option.isSome(settled) ? settled.value.primary : '',
        left: Math.max(0, Math.min(lessee.leaseUntil(service) - now, leaseTermMilliseconds)),
        release: lessee.releaseEpoch(service),
      };
    });
  }

  function wake(): void {
    gathering = false;
    number += 1;
    asking.wake();
  }

  /** Renewed leases are no news: whoever asks is told them anyway. */
  function changed(): void {
    const configuration = lessee.configuration();
    const seen = [
      Option.isSome(configuration) ? configuration.value.version : 0,
      lessee.membersVersion(),
      JSON.stringify(lessee.edges()),
      ...placements().map((one) => `${one.epoch}/${one.release}/${one.left > 0 ? 1 : 0}`),
    ].join(' ');
    if (seen === seenBefore) return;
    seenBefore = seen;
    if (rosterAt !== lessee.membersVersion()) {
      rosterAt = lessee.membersVersion();
      rosterNumber = number + 1;
    }
    if (gathering) return;
    gathering = true;
    kernel.clock.startTimer(1, wake);
  }

  /** What a proxy lets go of, or is refused by, the cores hear at once. */
  function take(ask: Request<'placement'>): void {
    // The process before it may have acknowledged commits that it did not live to tell.
    if (ask.token === '' && wasAsked) lessee.proxyRestarted();
    wasAsked = true;
    askedAt = kernel.clock.now();
    released = ask.released;
    positions = ask.positions;
    seenMarks = ask.marks;
    const noOlder = ask.token === token ? repliedAt.get(ask.serial) : undefined;
    if (noOlder !== undefined && (positionsAt === undefined || noOlder > positionsAt)) positionsAt = noOlder;
    demand = ask.demand;
    troubled = ask.hold > 0 && ask.hold <= troubledHoldMilliseconds;
    notListening = ask.notListening;
    const now = `${JSON.stringify(released)}${notListening.join(' ')}`;
    if (now === said) return;
    said = now;
    lessee.reportNow();
  }

  async function placement(ask: Request<'placement'>, caller: Caller): Promise<Reply<'placement'>> {
    proxy = caller;
    const cameAt = kernel.clock.now();
    take(ask);
    if (ask.token === token && ask.seen === number && ask.hold > 0)
      await asking.hold(ending ? Math.min(ask.hold, endingHoldMilliseconds) : ask.hold);
    const configuration = lessee.configuration();
    const version = Option.isSome(configuration) ? configuration.value.version : 0;
    const known = ask.token === token && ask.seen >= rosterNumber;
    serial += 1;
    repliedAt.set(serial, kernel.clock.now());
    repliedAt.delete(serial - serialsKept);
    return {
      token,
      number,
      serial,
      held: Math.max(0, kernel.clock.now() - cameAt),
      configuration:
        Option.isSome(configuration) && version !== ask.configuration ? { version, sheet: configuration.value.value.sheet } : null,
      configurationVersion: version,
      services: [...placements()],
      roster: known ? null : [...lessee.members()],
      edges: { ...lessee.edges() },
      demand: { ...lessee.demand() },
      marks: Object.fromEntries(
        [...lessee.commitWatermarks()].map(([service, mark]) => [
          service,
          { ...mark.position, ago: Math.max(0, kernel.clock.now() - mark.at) },
        ]),
      ),
      area: settings.area,
      node: settings.node,
    };
  }

  /** Counts of usage, on a majority of core disks before the proxy hears that they are kept (design 8.6). */
  async function tell(ask: Request<'tell'>): Promise<Reply<'tell'>> {
    telling += 1;
    const noted = await lessee.durableReports.report({
      floors: ask.floors,
      through: { [settings.node]: ask.through },
      reports: ask.usage.map((one) => ({
        node: settings.node,
        incarnation: ask.incarnation,
        number: ask.number,
        window: one.window,
        counts: { ...one.counts },
      })),
    });
    telling -= 1;
    return { kept: Either.isRight(noted) };
  }

  const listening: Listening = await peer.listen(kernel, identifiers.address(settings.feed), { placement, tell });
  lessee.start();

  async function stop(): Promise<void> {
    lessee.stop();
    await listening.stop();
  }

  /** It stays for as long as its proxy is there: one that ends needs its leases for what is under way; the next one's agent is the next (design 7.10). */
  async function drain(): Promise<void> {
    ending = true;
    const began = kernel.clock.now();
    const horizon = identifiers.after(began, graceMilliseconds);
    while (kernel.clock.now() < horizon && (telling > 0 || proxy?.open() === true || kernel.clock.now() - began < drainLeastMilliseconds))
      await kernel.clock.sleep(drainLookMilliseconds);
    await stop();
  }

  return { drain, stop };
}

export const leaseAgent = { start } as const;
