// What must be on a majority of core disks before a reply leaves: how far commits reach, and what was served (design 7.5, 8.6).
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Kernel } from '@stallstall/kernel';
import { message, type Floor, type Floors } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';

export type Counts = ReadonlyArray<Readonly<{ window: number; counts: Readonly<Record<string, number>> }>>;

export type Notes = Readonly<{
  /** The number of the telling that will hold what is counted before the next call of `note`. */
  next: () => number;
  /** Has a position noted with all that is counted by now. */
  note: (service: string, floor: Option.Option<Floor>) => void;
  /** Whether that telling, or a later one, is on a majority of disks. */
  noted: (number: number) => boolean;
  /** The usage window of the latest telling that is: what it let go was served then. */
  window: () => number;
  /** Tells what was counted since, and that this proxy still counts. */
  tick: () => void;
  flush: () => Promise<void>;
  /** The agent can be reached, so that what is sent now can be noted. */
  sound: () => boolean;
  /** How many tellings there were, and how long they took in all. */
  totals: () => Readonly<{ notes: number; noteMilliseconds: number }>;
}>;

const tickMilliseconds = 200;
const windowMilliseconds = 5_000;
const windowsKept = 6;
const tellMilliseconds = 1_000;

function create(kernel: Kernel, agent: Peer, incarnation: string, counts: (window: number) => Counts, onNoted: () => void): Notes {
  let floors: Floors = {};
  let started = 0;
  let kept = 0;
  let keptWindow = 0;
  let toldAt: Instant = identifiers.instant(Number.NEGATIVE_INFINITY);
  let telling = false;
  // What the latest telling that was kept says of each window; nothing, once one may have been kept in part.
  const told = new Map<number, string>();
  let wanted = 0;
  let asked = 0;
  let spent = 0;

  async function shot(): Promise<boolean> {
    started += 1;
    const number = started;
    const startedAt = kernel.clock.now();
    const wall = kernel.clock.wall();
    const window = Math.floor(wall / windowMilliseconds);
    const usage = counts(window)
      .map((one) => ({ window: one.window, counts: { ...one.counts } }))
      .filter((one) => told.get(one.window) !== JSON.stringify(one.counts));
    const reply = await agent.call('tell', { number, floors: { ...floors }, usage, through: wall, incarnation }, tellMilliseconds);
    asked += 1;
    spent += kernel.clock.now() - startedAt;
    if (Option.isNone(reply) || !reply.value.kept) {
      told.clear();
      return false;
    }
    for (const one of usage) told.set(one.window, JSON.stringify(one.counts));
    for (const old of told.keys()) if (old < window - windowsKept) told.delete(old);
    // A telling that took longer than its window let nothing go: what waits is told again, in the window it is served in.
    if (Math.floor(kernel.clock.wall() / windowMilliseconds) !== window) return true;
    kept = number;
    keptWindow = window;
    toldAt = startedAt;
    return true;
  }

  /** One telling at a time; whoever comes meanwhile is in the next. */
  async function tell(): Promise<void> {
    if (telling) return;
    telling = true;
    do {
      if (!(await shot())) break;
      onNoted();
    } while (kept < wanted);
    telling = false;
  }

  return {
    note: function note(service, floor) {
      if (Option.isSome(floor)) floors = message.higherFloors(floors, { [service]: floor.value });
      wanted = started + 1;
      void tell();
    },
    next: () => started + 1,
    noted: (number) => kept >= number,
    window: () => keptWindow,
    tick: function tick() {
      if (kept < wanted || kernel.clock.now() - toldAt >= tickMilliseconds) void tell();
    },
    flush: tell,
    sound: agent.connected,
    totals: () => ({ notes: asked, noteMilliseconds: Math.round(spent) }),
  };
}

export const notes = { create } as const;
