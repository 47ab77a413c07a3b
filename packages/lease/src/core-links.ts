/** An edge's connections to the cores, each with a loop that keeps requesting the lease (design 7.12). */
import { identifiers } from '@stallstall/kernel';
import type { Change, NodeRecord } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { reconnectPollMilliseconds, type HolderContext } from './holder-context.js';

/** @internal */
export type CoreLinks = Readonly<{
  find: (core: string) => Peer | undefined;
  /** Opens a link to a core, or replaces it if the core's address has changed. */
  connect: (core: NodeRecord) => void;
  /** Closes the links to all cores but these; returns the names of the cores whose links were closed. */
  retain: (cores: readonly string[]) => readonly string[];
  connected: () => ReadonlyArray<readonly [string, Peer]>;
  closeAll: () => void;
}>;

/** @internal */
export type CoreLinkEvents = Readonly<{
  onConnected: (core: string) => void;
  onChange: (core: string, link: Peer, change: Change) => void;
  /**
   * Requests a lease.
   * @param holdMilliseconds - how long the core may wait for an update before it replies (long poll)
   * @returns false when the core did not reply
   */
  requestLease: (core: string, link: Peer, holdMilliseconds: number) => Promise<boolean>;
}>;

type OpenLink = Readonly<{ address: string; peer: Peer }>;

/** How long a core may delay its reply while nothing changes (long poll). */
const holdMilliseconds = 700;
/** The same while a service has no leader, so that commit watermarks are exchanged more often. */
const leaderlessHoldMilliseconds = 120;
const retryMilliseconds = 120;

function create(context: HolderContext, events: CoreLinkEvents): CoreLinks {
  const { runtime, callbacks } = context;
  const links = new Map<string, OpenLink>();

  function find(core: string): Peer | undefined {
    return links.get(core)?.peer;
  }

  async function keepLease(core: string, link: Peer): Promise<void> {
    while (!context.isStopped && find(core) === link) {
      if (!link.isConnected()) {
        await runtime.clock.sleep(reconnectPollMilliseconds);
        continue;
      }
      const hold = callbacks.isLeaderMissing() ? leaderlessHoldMilliseconds : holdMilliseconds;
      const hasReplied = await events.requestLease(core, link, hold);
      if (!hasReplied) await runtime.clock.sleep(retryMilliseconds);
    }
  }

  function connect(core: NodeRecord): void {
    const open = links.get(core.node);
    if (open !== undefined && open.address === core.address) return;
    open?.peer.close();
    const link = peer.dial(runtime, identifiers.address(core.address), {
      onConnected: () => events.onConnected(core.node),
      onChange: (change) => events.onChange(core.node, link, change),
    });
    links.set(core.node, { address: core.address, peer: link });
    void keepLease(core.node, link);
  }

  function retain(cores: readonly string[]): readonly string[] {
    const removed = [...links.keys()].filter((core) => !cores.includes(core));
    for (const core of removed) {
      const link = find(core);
      links.delete(core);
      link?.close();
    }
    return removed;
  }

  return {
    find,
    connect,
    retain,
    connected: () => [...links].map(([core, open]) => [core, open.peer] as const).filter(([, link]) => link.isConnected()),
    closeAll: function closeAll() {
      for (const open of links.values()) open.peer.close();
    },
  };
}

/** @internal */
export const coreLinks = { create } as const;
