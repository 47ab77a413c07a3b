/** Links to other nodes: one connection to each, with its own periodic tasks (design 3.2). */
import { identifiers, runtimeUtilities } from '@stallstall/kernel';
import type { Change, NodeRecord } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';
import { heartbeatMilliseconds, type NodeContext } from './node-context.js';

/** @internal */
export type PeerLinks = Readonly<{
  /** The link to a node; undefined if there is none. */
  linkTo: (node: string) => Peer | undefined;
  /** Dials a node unless there is already a link to this address. */
  ensure: (record: NodeRecord) => void;
  /** Closes the links to unwanted nodes; returns those nodes. */
  retain: (isWanted: (node: string) => boolean) => readonly string[];
  closeAll: () => void;
}>;

/** @internal */
export type PeerLinkEvents = Readonly<{
  onConnected: (node: string) => void;
  onChange: (node: string, link: Peer, change: Change) => void;
  /** Called every `heartbeatMilliseconds` while this is the current link to the node. */
  onHeartbeat: (node: string, link: Peer) => Promise<void>;
  /** Like `onHeartbeat`, for links to cores only. */
  onWatch: (core: string, link: Peer) => Promise<void>;
}>;

type OpenLink = Readonly<{ address: string; peer: Peer }>;

function create(context: NodeContext, events: PeerLinkEvents): PeerLinks {
  const { runtime } = context;
  const links = new Map<string, OpenLink>();

  function linkTo(node: string): Peer | undefined {
    return links.get(node)?.peer;
  }

  /** Runs an action periodically until the link is replaced or closed; a slow run does not delay the next one. */
  function repeat(node: string, link: Peer, action: (node: string, link: Peer) => Promise<void>): void {
    void runtimeUtilities.every(
      runtime.clock,
      heartbeatMilliseconds,
      () => void action(node, link),
      () => !context.isStopped && linkTo(node) === link,
    );
  }

  function ensure(record: NodeRecord): void {
    const open = links.get(record.node);
    if (open !== undefined && open.address === record.address) return;
    open?.peer.close();
    const dialled = peer.dial(runtime, identifiers.address(record.address), {
      onConnected: () => events.onConnected(record.node),
      onChange: (change) => events.onChange(record.node, dialled, change),
    });
    links.set(record.node, { address: record.address, peer: dialled });
    repeat(record.node, dialled, events.onHeartbeat);
    if (record.role === 'core') repeat(record.node, dialled, events.onWatch);
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

  return { linkTo, ensure, retain, closeAll };
}

/** @internal */
export const peerLinks = { create } as const;
