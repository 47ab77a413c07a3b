/** Heartbeats between nodes: each reports its epochs, its connection caps and its applied membership version (design 3.4, 7.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';
import type { Reply, Request } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import type { QuorumLease } from '@stallstall/quorum-lease';
import type { AppliedState } from './applied-state.js';
import type { Incarnations } from './incarnations.js';
import { callTimeoutMilliseconds, type NodeContext } from './node-context.js';

/** What a node's newest heartbeat reported, and when it arrived. @internal */
export type HeartbeatReport = Readonly<{
  membership: number;
  epochs: Readonly<Record<string, number>>;
  caps: Readonly<Record<string, number>>;
  receivedAt: Instant;
}>;

/** @internal */
export type Heartbeats = Readonly<{
  send: (node: string, link: Peer) => Promise<void>;
  receive: (request: Request<'beat'>) => Reply<'beat'>;
  /** None for a node that has sent no heartbeat yet. */
  reportOf: (node: string) => Option.Option<HeartbeatReport>;
  forget: (node: string) => void;
}>;

/** @internal */
export type HeartbeatParts = Readonly<{
  applied: AppliedState;
  incarnations: Incarnations;
  lease: QuorumLease;
  /** By service: the epoch that this node supports. */
  epochs: () => Readonly<Record<string, number>>;
  linkTo: (node: string) => Peer | undefined;
  recordReply: (node: string, sentAt: Instant) => void;
  observeCoreSet: (set: NonNullable<Reply<'hello'>['set']>) => void;
  onSuperseded: () => void;
}>;

type Report = Readonly<Pick<Reply<'beat'>, 'epochs' | 'caps' | 'membership'>>;

function create(context: NodeContext, parts: HeartbeatParts): Heartbeats {
  const { runtime, settings, registration } = context;
  const { applied, incarnations, linkTo } = parts;
  const reports = new Map<string, HeartbeatReport>();

  /** In fleets whose edges hold leases, cores hold none: they report epochs to edges only, and to each other only that they are alive. */
  function ownReport(): Report {
    const epochs = Option.isSome(registration) ? {} : { ...parts.epochs() };
    return { epochs, caps: { ...context.parts.connectionCaps() }, membership: applied.membership().version };
  }

  function storeReport(node: string, { membership, epochs, caps }: Report): void {
    reports.set(node, { membership, epochs, caps, receivedAt: runtime.clock.now() });
  }

  async function fetchNewerSet(link: Peer): Promise<void> {
    const request = { seat: context.ownRecord, incarnation: incarnations.own(), fleet: context.fleet };
    const reply = await link.call('hello', request, callTimeoutMilliseconds);
    if (Option.isSome(reply) && reply.value.fleet === context.fleet && reply.value.set !== undefined) parts.observeCoreSet(reply.value.set);
  }

  /** Brings whichever of the two nodes has the older core set up to date (design 4.8). */
  function exchangeCoreSet(link: Peer, reportedNumber: number): void {
    if (Option.isNone(context.coreSet)) return;
    const { value: set } = context.coreSet;
    if (reportedNumber > set.number) void fetchNewerSet(link);
    // Pushed because the other node may have no link to any node with the newer set.
    if (reportedNumber < set.number) void link.call('adopt', { fleet: context.fleet, set }, callTimeoutMilliseconds);
  }

  async function send(node: string, link: Peer): Promise<void> {
    if (incarnations.own() === 0 || !link.isConnected()) return;
    const sentAt = runtime.clock.now();
    const request = { node: settings.node, incarnation: incarnations.own(), ...ownReport() };
    const reply = await link.call('beat', request, callTimeoutMilliseconds);
    if (Option.isNone(reply) || linkTo(node) !== link) return;
    if (reply.value.superseded) return parts.onSuperseded();
    parts.recordReply(node, sentAt);
    storeReport(node, reply.value);
    exchangeCoreSet(link, reply.value.membership);
    parts.lease.recordEcho(node, { sentAt, epochs: reply.value.epochs });
  }

  function receive(request: Request<'beat'>): Reply<'beat'> {
    const superseded = incarnations.isSuperseded(request.node, request.incarnation);
    if (!superseded) storeReport(request.node, request);
    return { ...ownReport(), superseded };
  }

  return {
    send,
    receive,
    reportOf: (node) => Option.fromNullable(reports.get(node)),
    forget: (node) => void reports.delete(node),
  };
}

/** @internal */
export const heartbeats = { create } as const;
