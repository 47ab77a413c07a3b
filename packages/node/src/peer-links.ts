/** Links to other nodes: one connection to each, with a task of its own (design 3.2). */
import { identifiers, runtimeUtilities } from '@stallstall/kernel';
import type { Change, NodeRecord } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { heartbeatMilliseconds, type NodeContext } from './node-context.js';

/** @internal */
export type PeerLinks = Readonly<{
  /** The link to a node; undefined where there is none. */
  of: (node: string) => Peer | undefined;
  /** Dials a node, unless there is a link to that address. */
  ensure: (seat: NodeRecord) => void;
  /** Closes links to all other nodes; returns the nodes that were closed. */
  retain: (isWanted: (node: string) => boolean) => readonly string[];
  closeAll: () => void;
}>;

/** @internal */
export type PeerLinkEvents = Readonly<{
  onConnected: (node: string) => void;
  onChange: (node: string, link: Peer, change: Change) => void;
  /** Called every `heartbeatMilliseconds` for as long as the link is the one to that node. */
  onHeartbeat: (node: string, link: Peer) => Promise<void>;
  /** The same for links to cores. */
  onWatch: (core: string, link: Peer) => Promise<void>;
}>;

type OpenLink = Readonly<{ address: string; peer: Peer }>;

function create(context: NodeContext, events: PeerLinkEvents): PeerLinks {
  const { runtime } = context;
  const links = new Map<string, OpenLink>();

  function of(node: string): Peer | undefined {
    return links.get(node)?.peer;
  }

  /** Repeats an action until the link is closed; a slow action does not delay the next one. */
  function repeat(node: string, link: Peer, action: (node: string, link: Peer) => Promise<void>): void {
    void runtimeUtilities.every(
      runtime.clock,
      heartbeatMilliseconds,
      () => void action(node, link),
      () => !context.isStopped && of(node) === link,
    );
  }

  function ensure(seat: NodeRecord): void {
    const open = links.get(seat.node);
    if (open !== undefined && open.address === seat.address) return;
    open?.peer.close();
    const dialled = peer.dial(runtime, identifiers.address(seat.address), {
      onConnected: () => events.onConnected(seat.node),
      onChange: (change) => events.onChange(seat.node, dialled, change),
    });
    links.set(seat.node, { address: seat.address, peer: dialled });
    repeat(seat.node, dialled, events.onHeartbeat);
    if (seat.role === 'core') repeat(seat.node, dialled, events.onWatch);
  }

  function retain(isWanted: (node: string) => boolean): readonly string[] {
    const unwanted = [...links].filter(([node]) => !isWanted(node));
    for (const [node, open] of unwanted) {
      open.peer.close();
      links.delete(node);
    }
    return unwanted.map(([node]) => node);
  }

  function closeAll(): void {
    for (const open of links.values()) open.peer.close();
  }

  return { of, ensure, retain, closeAll };
}

/** @internal */
export const peerLinks = { create } as const;
