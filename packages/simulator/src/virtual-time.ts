/** Virtual time: runs events in time order without waiting in between, with one seeded source of randomness. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { randomGenerator, eventQueue } from './event-queue.js';

/** The virtual clock and event queue of one simulation. */
export type VirtualTime = Readonly<{
  /** Milliseconds since the run began. */
  now: () => number;
  /** The next pseudorandom number of the seed, at least 0 and below 1. */
  random: () => number;
  /** Runs an action after so many milliseconds, unless `isNeeded` returns false by then. */
  schedule: (milliseconds: number, action: () => void, isNeeded?: () => boolean) => void;
  /** Runs all events that fall within the next milliseconds. */
  run: (milliseconds: number) => Promise<void>;
  /** The number of events that have run. */
  eventCount: () => number;
}>;

v8.setFlagsFromString('--allow-natives-syntax');
/** Runs all pending promise callbacks before the next event, at a third of the cost of a turn of the Node.js event loop. */
const runMicrotasks = vm.runInThisContext('(function runMicrotasks() { %PerformMicrotaskCheckpoint(); })') as () => void;

const maxEventsPerTurn = 2_000;

function create(seed: number): VirtualTime {
  const random = randomGenerator(seed);
  const events = eventQueue();
  let now = 0;
  let lastOrder = 0;
  let eventCount = 0;

  function schedule(milliseconds: number, action: () => void, isNeeded?: () => boolean): void {
    lastOrder += 1;
    events.push({ time: now + Math.max(0, milliseconds), order: lastOrder, action, isNeeded });
  }

  /**
   * Runs a batch of events within one turn of the Node.js event loop. `setImmediate` makes it start outside any promise callback.
   * Resolves to whether events may remain before `until`.
   */
  function runTurn(until: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      setImmediate(() => {
        try {
          runMicrotasks();
          for (let remaining = maxEventsPerTurn; remaining > 0; remaining -= 1) {
            const next = events.peek();
            if (next === undefined || next.time > until) {
              resolve(false);
              return;
            }
            events.pop();
            now = Math.max(now, next.time);
            if (next.isNeeded?.() === false) continue;
            next.action();
            eventCount += 1;
            runMicrotasks();
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
    while (await runTurn(until));
    now = until;
  }

  return { now: () => now, random, schedule, run, eventCount: () => eventCount };
}

export const virtualTime = { create } as const;
