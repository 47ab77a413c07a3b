/** What each tenant has been served, by windows of the wall clock, told to the cores in batches beside the path (design 8.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Peer } from '@stallstall/peer';

export type Usage = Readonly<{
  count: (tenant: string) => void;
  /** Tells what was counted; true once a majority of core disks keeps it. */
  tell: () => Promise<boolean>;
}>;

const windowMilliseconds = 5_000;
const windowsKept = 4;
const tellMilliseconds = 2_000;

function create(runtime: Runtime, agent: Peer): Usage {
  const incarnation = runtime.randomness.token();
  const windows = new Map<number, Map<string, number>>();
  /** Windows that were counted in since they were told. */
  const dirty = new Set<number>();
  let number = 0;

  function count(tenant: string): void {
    const window = Math.floor(runtime.clock.wall() / windowMilliseconds);
    let counts = windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      windows.set(window, counts);
      for (const old of windows.keys()) if (old <= window - windowsKept) windows.delete(old);
    }
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
    dirty.add(window);
  }

  async function tell(): Promise<boolean> {
    number += 1;
    const through = runtime.clock.wall();
    const changed = [...windows].filter(([window]) => dirty.has(window));
    const usage = changed.map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    const sentWindows = [...dirty];
    dirty.clear();
    const reply = await agent.call('tell', { number, floors: {}, usage, through, incarnation }, tellMilliseconds);
    const kept = Option.isSome(reply) && reply.value.kept;
    if (!kept) for (const window of sentWindows) dirty.add(window);
    return kept;
  }

  return { count, tell };
}

export const usage = { create } as const;
