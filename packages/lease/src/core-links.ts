/** An edge's links to the cores, and the task of each that asks its core for a lease again and again (design 7.12). */
import { identifiers } from '@stallstall/kernel';
import type { Change, Seat } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { reconnectPollMilliseconds, type HolderContext } from './holder-context.js';

/** @internal */
export type CoreLinks = Readonly<{
  of: (core: string) => Peer | undefined;
  ensure: (core: Seat) => void;
  /** Closes links to all other cores; returns the cores that were closed. */
  retain: (cores: readonly string[]) => readonly string[];
  connected: () => ReadonlyArray<readonly [string, Peer]>;
  closeAll: () => void;
}>;

/** @internal */
export type CoreLinkEvents = Readonly<{
  onConnected: (core: string) => void;
  onChange: (core: string, link: Peer, change: Change) => void;
  /** Asks for a lease that the core may hold for so long; resolves to false when the core did not reply. */
  requestLease: (core: string, link: Peer, holdMilliseconds: number) => Promise<boolean>;
}>;

type OpenLink = Readonly<{ address: string; peer: Peer }>;

/** How long a core may hold a request while nothing changes. */
const holdMilliseconds = 700;
const leaderMissingHoldMilliseconds = 120;
const retryMilliseconds = 120;

function create(context: HolderContext, events: CoreLinkEvents): CoreLinks {
  const { runtime, parts } = context;
  const links = new Map<string, OpenLink>();

  function of(core: string): Peer | undefined {
    return links.get(core)?.peer;
  }

  async function keepLease(core: string, link: Peer): Promise<void> {
    while (!context.isStopped && of(core) === link) {
      if (!link.connected()) {
        await runtime.clock.sleep(reconnectPollMilliseconds);
        continue;
      }
      const hold = parts.isLeaderMissing() ? leaderMissingHoldMilliseconds : holdMilliseconds;
      const isReplied = await events.requestLease(core, link, hold);
      if (!isReplied) await runtime.clock.sleep(retryMilliseconds);
    }
  }

  function ensure(core: Seat): void {
    const open = links.get(core.node);
    if (open !== undefined && open.address === core.address) return;
    open?.peer.close();
    const link = peer.dial(runtime, identifiers.address(core.address), {
      connected: () => events.onConnected(core.node),
      changed: (change) => events.onChange(core.node, link, change),
    });
    links.set(core.node, { address: core.address, peer: link });
    void keepLease(core.node, link);
  }

  function retain(cores: readonly string[]): readonly string[] {
    const unwanted = [...links.keys()].filter((core) => !cores.includes(core));
    for (const core of unwanted) {
      const link = of(core);
      links.delete(core);
      link?.close();
    }
    return unwanted;
  }

  return {
    of,
    ensure,
    retain,
    connected: () => [...links].map(([core, open]) => [core, open.peer] as const).filter(([, link]) => link.connected()),
    closeAll: function closeAll() {
      for (const open of links.values()) open.peer.close();
    },
  };
}

/** @internal */
export const coreLinks = { create } as const;
