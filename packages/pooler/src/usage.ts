/** What each tenant has been served, by windows of the wall clock, told to the cores in batches beside the path (design 8.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Peer } from '@stallstall/peer';

export type Usage = Readonly<{
  count: (tenant: string) => void;
  /** Tells what was counted; true once a majority of core disks keeps it. */
  report: () => Promise<boolean>;
}>;

const windowMilliseconds = 5_000;
const retainedWindows = 4;
const reportTimeoutMilliseconds = 2_000;

function create(runtime: Runtime, agent: Peer): Usage {
  const incarnation = runtime.randomness.token();
  const windows = new Map<number, Map<string, number>>();
  /** Windows that were counted in since they were told. */
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

  async function tell(): Promise<boolean> {
    reportNumber += 1;
    const through = runtime.clock.wall();
    const changed = [...windows].filter(([window]) => unreportedWindows.has(window));
    const usage = changed.map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    const sentWindows = [...unreportedWindows];
    unreportedWindows.clear();
    const reply = await agent.call('tell', { number: reportNumber, floors: {}, usage, through, incarnation }, reportTimeoutMilliseconds);
    const kept = Option.isSome(reply) && reply.value.kept;
    if (!kept) for (const window of sentWindows) unreportedWindows.add(window);
    return kept;
  }

  return { count, report: tell };
}

export const usage = { create } as const;
