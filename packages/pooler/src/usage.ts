/**
 * Counts the requests served to each tenant in wall-clock windows and reports them to the cores in batches, off the request path (design
 * 8.6).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Peer } from '@stallstall/peer';

export type Usage = Readonly<{
  count: (tenant: string) => void;
  /** Reports the changed counts; resolves to true when a majority of the cores has stored them on disk. */
  report: () => Promise<boolean>;
}>;

const windowMilliseconds = 5_000;
const retainedWindows = 4;
const reportTimeoutMilliseconds = 2_000;

function create(runtime: Runtime, agent: Peer): Usage {
  const incarnation = runtime.randomness.token();
  const windows = new Map<number, Map<string, number>>();
  /** Windows whose counts have changed since they were last reported. */
  const unreportedWindows = new Set<number>();
  let reportNumber = 0;

  function count(tenant: string): void {
    const window = Math.floor(runtime.clock.wall() / windowMilliseconds);
    let counts = windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      windows.set(window, counts);
      for (const old of windows.keys()) if (old <= window - retainedWindows) windows.delete(old);
    }
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
    unreportedWindows.add(window);
  }

  async function report(): Promise<boolean> {
    reportNumber += 1;
    const through = runtime.clock.wall();
    const changedWindows = [...windows].filter(([window]) => unreportedWindows.has(window));
    const usage = changedWindows.map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    const sentWindows = [...unreportedWindows];
    unreportedWindows.clear();
    const reply = await agent.call('tell', { number: reportNumber, floors: {}, usage, through, incarnation }, reportTimeoutMilliseconds);
    const isStored = Option.isSome(reply) && reply.value.kept;
    if (!isStored) for (const window of sentWindows) unreportedWindows.add(window);
    return isStored;
  }

  return { count, report };
}

export const usage = { create } as const;
