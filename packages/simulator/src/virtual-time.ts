/** Virtual time: events in the order of their moments, one source of randomness, and no waiting in between. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { generator, queue } from './event-queue.js';

/** The clock and the events of one simulation. */
export type VirtualTime = Readonly<{
  /** Milliseconds since the run began. */
  now: () => number;
  /** The next number of the seed, from 0 up to 1. */
  random: () => number;
  /** Runs an action after so many milliseconds; skipped when `wanted` then says no. */
  at: (milliseconds: number, action: () => void, wanted?: () => boolean) => void;
  /** Runs every event of the next milliseconds. */
  run: (milliseconds: number) => Promise<void>;
  /** How many events have run. */
  events: () => number;
}>;

v8.setFlagsFromString('--allow-natives-syntax');
/** Lets every promise that can go on do so before the next event, at a third of the cost of a turn of the event loop. */
const settlePromises = vm.runInThisContext('(function settlePromises() { %PerformMicrotaskCheckpoint(); })') as () => void;

const eventsPerTurn = 2_000;

function create(seed: number): VirtualTime {
  const random = generator(seed);
  const events = queue();
  let now = 0;
  let order = 0;
  let count = 0;

  function at(milliseconds: number, action: () => void, wanted?: () => boolean): void {
    order += 1;
    events.push({ at: now + Math.max(0, milliseconds), order, action, wanted });
  }

  /** Within one turn of the event loop as many events as fit; a turn of its own begins outside any promise. */
  function turn(until: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      setImmediate(() => {
        try {
          settlePromises();
          for (let left = eventsPerTurn; left > 0; left -= 1) {
            const next = events.peek();
            if (next === undefined || next.at > until) {
              resolve(false);
              return;
            }
            events.pop();
            now = Math.max(now, next.at);
            if (next.wanted?.() === false) continue;
            next.action();
            count += 1;
            settlePromises();
          }
          resolve(true);
        } catch (error) {
          reject(error as Error);
        }
      });
    });
  }

  async function run(milliseconds: number): Promise<void> {
    const until = now + milliseconds;
    while (await turn(until));
    now = until;
  }

  return { now: () => now, random, at, run, events: () => count };
}

export const virtualTime = { create } as const;
