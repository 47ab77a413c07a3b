// What each tenant has been served, by windows of the wall clock, told to the cores in batches beside the path (design 8.6).
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import type { Peer } from '@stallstall/peer';

export type Usage = Readonly<{
  count: (tenant: string) => void;
  /** Tells what was counted; true once a majority of core disks keeps it. */
  tell: () => Promise<boolean>;
}>;

const windowMilliseconds = 5_000;
const windowsKept = 4;
const tellMilliseconds = 2_000;

function create(kernel: Kernel, agent: Peer): Usage {
  const incarnation = kernel.randomness.token();
  const windows = new Map<number, Map<string, number>>();
  let number = 0;

  function count(tenant: string): void {
    const window = Math.floor(kernel.clock.wall() / windowMilliseconds);
    let counts = windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      windows.set(window, counts);
      for (const old of windows.keys()) if (old <= window - windowsKept) windows.delete(old);
    }
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
  }

  async function tell(): Promise<boolean> {
    number += 1;
    const through = kernel.clock.wall();
    const usage = [...windows].map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    const reply = await agent.call('tell', { number, floors: {}, usage, through, incarnation }, tellMilliseconds);
    return Option.isSome(reply) && reply.value.kept;
  }

  return { count, tell };
}

export const usage = { create } as const;
