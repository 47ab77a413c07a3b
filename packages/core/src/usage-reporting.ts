// Usage: counts are told to every core, one holder fixes a window in the register before its first send (design 8.6).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { identifiers, type Fault, type Kernel } from '@stallstall/kernel';
import { message, type Entry, type Reply } from '@stallstall/message';
import { singletonRole, type RoleLease, type PlatformCall, type PlatformCalls } from '@stallstall/election';
import { quorum } from '@stallstall/quorum';
import { reportStore, usageWindowsKept, registerService, usageWindowMilliseconds, type ReportStore } from '@stallstall/register';
import type { Node } from '@stallstall/node';

/**
 * A window is fixed once every edge has told of all of it, or so long after its end. Nothing is served without its note, so all
 * that an edge out of reach can still add is what it had under way.
 */
const graceMilliseconds = 2_500;
/**
 * Where senders hold sessions, replies wait for no note: an edge out of reach serves until its lease ends, and its counts come when it is
 * back. They are waited for as long as a window can then still be sent in time.
 */
const sessionGraceMilliseconds = 6_000;
/** How far the machines' wall clocks may differ. */
const skewMilliseconds = 200;
/** A platform may take its time: the duty is renewed beside the call. */
const sendMilliseconds = 4_000;
/** A window that has not left by then would come too late: it is shown to operators and never sent. */
const latestSendMilliseconds = 9_000;

const FixedSchema = Type.Object({
  windows: Type.Array(
    Type.Object({
      window: Type.Integer({ minimum: 0 }),
      counts: Type.Record(Type.String(), Type.Integer({ minimum: 0 })),
      sent: Type.Boolean(),
    }),
  ),
});
type Fixed = Readonly<Static<typeof FixedSchema>>;
type FixedWindow = Fixed['windows'][number];

type Told = Reply<'usageLook'>;

export type UsageReporting = Readonly<{
  start: () => void;
  /** Ends when the duty is handed on. */
  stop: () => Promise<void>;
  windows: () => Promise<Either.Either<Fault, readonly FixedWindow[]>>;
}>;

function fixedOf(entry: Option.Option<Entry>): Fixed {
  return Option.isSome(entry) && message.matches(FixedSchema, entry.value.value) ? entry.value.value : { windows: [] };
}

/** Where edges hold leases, and the platform is told in words of its own (design 9.6). */
export type UsageParts = Readonly<{ calls: PlatformCalls; edges: () => readonly string[] }>;

function create(kernel: Kernel, node: Node, notes: ReportStore, parts: Option.Option<UsageParts> = Option.none): UsageReporting {
  const register = kernel.services.find(registerService);
  // Windows on their way to the platform: one that it is slow over holds up none of the others.
  const sending = new Set<number>();
  const grace = Option.isSome(parts) ? sessionGraceMilliseconds : graceMilliseconds;
  let stopped = false;
  let ended: Promise<void> = Promise.resolve();

  /** The counts of a window as a majority of disks holds them; none while an edge may still have some to tell. */
  async function gather(window: number): Promise<Option.Option<Readonly<Record<string, number>>>> {
    const replies = (
      await Promise.all(
        node.cores().map(async function ask(core): Promise<readonly Told[]> {
          if (core.node === node.settings.node) return [notes.usageOf(window)];
          const held = node.peerOf(core.node);
          const reply = Option.isNone(held) ? Option.none : await held.value.call('usageLook', { window }, 500);
          return Option.isSome(reply) ? [reply.value] : [];
        }),
      )
    )
      .flat()
      .filter((told) => told.ready);
    if (replies.length < quorum.majority(node.cores().length)) return Option.none;
    const end = (window + 1) * usageWindowMilliseconds;
    const edges = Option.isSome(parts) ? parts.value.edges() : quorum.withRole(node.membership().value, 'edge').map((edge) => edge.node);
    const whole = edges.every((edge) => Math.max(...replies.map((one) => one.through[edge] ?? 0)) >= end + skewMilliseconds);
    if (!whole && kernel.clock.wall() < end + grace) return Option.none;
    return Option.some(reportStore.sumReports(replies.flatMap((one) => one.reports)));
  }

  /** Fixes the counts of a window once; whoever comes later finds them standing. */
  async function fix(window: number, counts: Readonly<Record<string, number>>): Promise<Option.Option<FixedWindow>> {
    const changed = await register.change(
      'usage',
      function next(current) {
        const fixed = fixedOf(current);
        if (fixed.windows.some((known) => known.window >= window)) return Option.none;
        const added: FixedWindow = { window, counts: { ...counts }, sent: false };
        return Option.some({ windows: [...fixed.windows, added].slice(-2 * usageWindowsKept) });
      },
      1_500,
    );
    if (Either.isLeft(changed)) return Option.none;
    if (changed.right.wrote) kernel.log('usage.fixed', { window, counted: Object.values(counts).reduce((sum, count) => sum + count, 0) });
    return Option.fromNullable(fixedOf(changed.right.entry).windows.find((known) => known.window === window));
  }

  async function send(fixed: FixedWindow, holding: RoleLease): Promise<void> {
    if (sending.has(fixed.window)) return;
    sending.add(fixed.window);
    const ask: PlatformCall = Option.isSome(parts)
      ? parts.value.calls.usage({
          window: fixed.window,
          counts: fixed.counts,
          fencingToken: holding.fencingToken,
          holder: node.settings.node,
        })
      : {
          repeatable: 'unchanged',
          method: 'POST',
          path: '/v1/usage',
          body: {
            window: fixed.window,
            endsAt: (fixed.window + 1) * usageWindowMilliseconds,
            counts: fixed.counts,
            turn: holding.fencingToken,
            holder: node.settings.node,
          },
        };
    const reply = await holding.call(identifiers.address(node.settings.platform()), ask, sendMilliseconds);
    sending.delete(fixed.window);
    if (Either.isLeft(reply) || reply.right.status !== 200) return;
    await register.change(
      'usage',
      function mark(current) {
        const standing = fixedOf(current);
        if (!standing.windows.some((known) => known.window === fixed.window && !known.sent)) return Option.none;
        return Option.some({
          windows: standing.windows.map((known) => (known.window === fixed.window ? { ...known, sent: true } : known)),
        });
      },
      1_000,
    );
  }

  /** One round of the holder: fix every window that has ended, also one that is too late to send, then send what can still arrive in time. */
  async function round(holding: RoleLease): Promise<void> {
    const last = Math.floor((kernel.clock.wall() - skewMilliseconds) / usageWindowMilliseconds) - 1;
    const read = await register.read('usage', 1_000);
    if (Either.isLeft(read)) return;
    const known = fixedOf(read.right).windows;
    const newest = known.at(-1)?.window ?? last - 1;
    for (let window = Math.max(newest + 1, last - usageWindowsKept + 2); window <= last; window += 1) {
      const counts = await gather(window);
      if (Option.isNone(counts)) break;
      await fix(window, counts.value);
    }
    const standing = await register.read('usage', 1_000);
    if (Either.isLeft(standing)) return;
    for (const fixed of fixedOf(standing.right).windows) {
      const tooLate = (fixed.window + 1) * usageWindowMilliseconds + latestSendMilliseconds < kernel.clock.wall();
      if (!fixed.sent && !tooLate && !stopped) void send(fixed, holding);
    }
  }

  async function hold(holding: RoleLease): Promise<void> {
    kernel.log('usage.holding', { turn: holding.fencingToken });
    while (!stopped && (await holding.renew())) {
      await round(holding);
      await kernel.clock.sleep(400);
    }
    kernel.log('usage.ended', { turn: holding.fencingToken });
  }

  async function task(): Promise<void> {
    const seeking = singletonRole.create(
      kernel,
      'usage',
      node.settings.node,
      Option.isSome(parts) ? parts.value.calls.handoverDelayMilliseconds : 0,
    );
    while (!stopped) {
      if (node.incarnation() > 0) {
        const holding = await seeking.tryAcquire();
        if (Option.isSome(holding)) {
          await hold(holding.value);
          if (stopped) await holding.value.release();
        }
      }
      await kernel.clock.sleep(500);
    }
  }

  return {
    start: function start() {
      ended = task();
    },
    stop: function stop() {
      stopped = true;
      return ended;
    },
    windows: async function windows() {
      const read = await register.read('usage', 1_000);
      return Either.isLeft(read) ? read : Either.right(fixedOf(read.right).windows);
    },
  };
}

export const usageReporting = { create } as const;
