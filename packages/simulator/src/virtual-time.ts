/** Virtual time: events in the order of their moments, one source of randomness, and no waiting in between. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { randomGenerator, eventQueue } from './event-queue.js';

/** The clock and the events of one simulation. */
export type VirtualTime = Readonly<{
  /** Milliseconds since the run began. */
  now: () => number;
  /** The next number of the seed, from 0 up to 1. */
  random: () => number;
  /** Runs an action after so many milliseconds; skipped when `wanted` then says no. */
  schedule: (milliseconds: number, action: () => void, isNeeded?: () => boolean) => void;
  /** Runs every event of the next milliseconds. */
  run: (milliseconds: number) => Promise<void>;
  /** How many events have run. */
  eventCount: () => number;
}>;

v8.setFlagsFromString('--allow-natives-syntax');
/** Lets every promise that can go on do so before the next event, at a third of the cost of a turn of the event loop. */
const runMicrotasks = vm.runInThisContext('(function settlePromises() { %PerformMicrotaskCheckpoint(); })') as () => void;

const maxEventsPerTurn = 2_000;

function create(seed: number): VirtualTime {
  const random = randomGenerator(seed);
  const events = eventQueue();
  let now = 0;
  let lastOrder = 0;
  let eventCount = 0;

  function schedule(milliseconds: number, action: () => void, isNeeded?: () => boolean): void {
    lastOrder += 1;
    events.push({ time: now + Math.max(0, milliseconds), lastOrder, action, isNeeded });
  }

  /** Within one turn of the event loop as many events as fit; a turn of its own begins outside any promise. */
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

  return { now: () => now, random, schedule: schedule, run, eventCount: () => eventCount };
}

export const virtualTime = { create } as const;
