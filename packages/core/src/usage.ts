// Usage: counts are told to every core, one holder fixes a window in the register before its first send (design 8.6).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { http, identifiers, type Fault, type Kernel } from '@stallstall/kernel';
import { message, type Entry, type Reply, type UsageReport } from '@stallstall/message';
import { duty, type Holding } from '@stallstall/elect';
import { quorum } from '@stallstall/quorum';
import { registerService } from '@stallstall/register';
import type { Node } from '@stallstall/node';

export const windowMilliseconds = 5_000;
/** A window is fixed once every edge has told of all of it, or so long after its end: what has not come by then is lost. */
const graceMilliseconds = 6_000;
/** How far the machines' wall clocks may differ. */
const skewMilliseconds = 200;
const sendMilliseconds = 900;
/** Windows older than this are no longer sent: they could not arrive in time. */
const keptWindows = 6;

const FixedSchema = Type.Object({
  windows: Type.Array(Type.Object({
    window: Type.Integer({ minimum: 0 }),
    counts: Type.Record(Type.String(), Type.Integer({ minimum: 0 })),
    sent: Type.Boolean(),
  })),
});
type Fixed = Readonly<Static<typeof FixedSchema>>;
type FixedWindow = Fixed['windows'][number];

type Told = Reply<'usageLook'>;

export type Usage = Readonly<{
  tell: (told: Told) => void;
  look: (window: number) => Told;
  start: () => void;
  stop: () => void;
  windows: () => Promise<Either.Either<Fault, readonly FixedWindow[]>>;
}>;

function fixedOf(entry: Option.Option<Entry>): Fixed {
  return Option.isSome(entry) && message.fits(FixedSchema, entry.value.value) ? entry.value.value : { windows: [] };
}

/** The counts of one window: for each edge process the highest it told, all added up. */
function add(reports: readonly UsageReport[]): Readonly<Record<string, number>> {
  const highest = new Map<string, UsageReport['counts']>();
  for (const report of reports) {
    const source = `${report.node}#${report.incarnation}`;
    const known = highest.get(source) ?? {};
    highest.set(source, Object.fromEntries([...Object.entries(known), ...Object.entries(report.counts)].map(([name, count]) => [name, Math.max(count, known[name] ?? 0)])));
  }
  const total: Record<string, number> = {};
  for (const counts of highest.values()) for (const [name, count] of Object.entries(counts)) total[name] = (total[name] ?? 0) + count;
  return total;
}

function create(kernel: Kernel, node: Node): Usage {
  const register = kernel.services.find(registerService);
  const reports = new Map<number, Map<string, UsageReport>>();
  const through = new Map<string, number>();
  let stopped = false;

  function tell(told: Told): void {
    for (const [edge, moment] of Object.entries(told.through)) through.set(edge, Math.max(moment, through.get(edge) ?? 0));
    const oldest = Math.floor(kernel.clock.wall() / windowMilliseconds) - keptWindows;
    for (const report of told.reports) {
      if (report.window < oldest) continue;
      const table = reports.get(report.window) ?? new Map<string, UsageReport>();
      reports.set(report.window, table);
      const source = `${report.node}#${report.incarnation}`;
      const known = table.get(source);
      table.set(source, known === undefined ? report : { ...report, counts: add([known, { ...report, node: known.node }]) });
    }
    for (const window of reports.keys()) if (window < oldest) reports.delete(window);
  }

  function look(window: number): Told {
    return { reports: [...(reports.get(window)?.values() ?? [])], through: Object.fromEntries(through) };
  }

  /** The counts of a window; none while an edge may still have some to tell. */
  async function gather(window: number): Promise<Option.Option<Readonly<Record<string, number>>>> {
    const answers = await Promise.all(node.cores().map(async function ask(core): Promise<Told> {
      if (core.node === node.settings.node) return look(window);
      const held = node.callPeer(core.node);
      if (Option.isNone(held)) return { reports: [], through: {} };
      const reply = await held.value.call('usageLook', { window }, 500);
      return Option.isSome(reply) ? reply.value : { reports: [], through: {} };
    }));
    const end = (window + 1) * windowMilliseconds;
    const edges = quorum.withRole(node.membership().value, 'edge');
    const whole = edges.every((edge) => Math.max(...answers.map((answer) => answer.through[edge.node] ?? 0)) >= end + skewMilliseconds);
    if (!whole && kernel.clock.wall() < end + graceMilliseconds) return Option.none;
    return Option.some(add(answers.flatMap((answer) => answer.reports)));
  }

  /** Fixes the counts of a window once; whoever comes later finds them standing. */
  async function fix(window: number, counts: Readonly<Record<string, number>>): Promise<Option.Option<FixedWindow>> {
    const changed = await register.change('usage', function next(current) {
      const fixed = fixedOf(current);
      if (fixed.windows.some((known) => known.window >= window)) return Option.none;
      const added: FixedWindow = { window, counts: { ...counts }, sent: false };
      return Option.some({ windows: [...fixed.windows, added].slice(-2 * keptWindows) });
    }, 1_500);
    if (Either.isLeft(changed)) return Option.none;
    return Option.fromNullable(fixedOf(changed.right.entry).windows.find((known) => known.window === window));
  }

  async function send(fixed: FixedWindow, holding: Holding): Promise<boolean> {
    if (!holding.covers(sendMilliseconds)) return false;
    const reply = await http.once(kernel, identifiers.address(node.settings.platform()), {
      method: 'POST', path: '/v1/usage',
      body: { window: fixed.window, endsAt: (fixed.window + 1) * windowMilliseconds, counts: fixed.counts, turn: holding.turn, holder: node.settings.node },
    }, sendMilliseconds);
    if (Either.isLeft(reply) || reply.right.status !== 200) return false;
    await register.change('usage', function mark(current) {
      const standing = fixedOf(current);
      if (!standing.windows.some((known) => known.window === fixed.window && !known.sent)) return Option.none;
      return Option.some({ windows: standing.windows.map((known) => (known.window === fixed.window ? { ...known, sent: true } : known)) });
    }, 1_000);
    return true;
  }

  /** One round of the holder: fix every window that has ended, then send what has not been sent. */
  async function round(holding: Holding): Promise<void> {
    const last = Math.floor((kernel.clock.wall() - skewMilliseconds) / windowMilliseconds) - 1;
    const read = await register.read('usage', 1_000);
    if (Either.isLeft(read)) return;
    const known = fixedOf(read.right).windows;
    const newest = known.at(-1)?.window ?? last - 1;
    for (let window = Math.max(newest + 1, last - 1); window <= last; window += 1) {
      const counts = await gather(window);
      if (Option.isNone(counts)) break;
      await fix(window, counts.value);
    }
    const standing = await register.read('usage', 1_000);
    if (Either.isLeft(standing)) return;
    for (const fixed of fixedOf(standing.right).windows) {
      const tooLate = (fixed.window + 1) * windowMilliseconds + 2 * windowMilliseconds - sendMilliseconds < kernel.clock.wall();
      if (!fixed.sent && !tooLate) await send(fixed, holding);
    }
  }

  async function hold(holding: Holding): Promise<void> {
    kernel.log('usage.holding', { turn: holding.turn });
    while (!stopped && (await holding.renew())) {
      await round(holding);
      await kernel.clock.sleep(400);
    }
    kernel.log('usage.ended', { turn: holding.turn });
  }

  async function task(): Promise<void> {
    const seeking = duty.create(kernel, 'usage', node.settings.node);
    while (!stopped) {
      if (node.incarnation() > 0) {
        const holding = await seeking.seek();
        if (Option.isSome(holding)) {
          await hold(holding.value);
          if (stopped) await holding.value.release();
        }
      }
      await kernel.clock.sleep(500);
    }
  }

  return {
    tell,
    look,
    start: function start() {
      void task();
    },
    stop: function stop() {
      stopped = true;
    },
    windows: async function windows() {
      const read = await register.read('usage', 1_000);
      return Either.isLeft(read) ? read : Either.right(fixedOf(read.right).windows);
    },
  };
}

export const usage = { create } as const;
