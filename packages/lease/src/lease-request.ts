/** The request by which an edge asks a core for its lease (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Request, Seat } from '@stallstall/message';
import type { CoreReplies, CoreReply } from './core-replies.js';
import type { HolderContext } from './holder-context.js';
import type { HolderState } from './holder-state.js';

/** @internal */
export type LeaseRequestParts = Readonly<{
  context: HolderContext;
  state: HolderState;
  replies: CoreReplies;
  /** Whether there is an open connection to a core. */
  isConnected: (core: string) => boolean;
}>;

/** Reported where no core wants to know. */
const unreportedMilliseconds = 3_600_000;

/** Releases that are yet to be waited for: nobody waits for one at an epoch that is elected. */
function pendingReleases({ context, state }: LeaseRequestParts): Record<string, number> {
  const pending = Object.entries(context.parts.releasedEpochs()).filter(function isPending([service, epoch]) {
    const elected = state.electedPrimary(service);
    return Option.isNone(elected) || epoch > elected.value.epoch;
  });
  return Object.fromEntries(pending);
}

/** What this edge has seen of commits; nothing unless some core wants to know, for nobody needs it otherwise. */
function commitReport({ context, replies }: LeaseRequestParts): Pick<Request<'lease'>, 'positions' | 'marks' | 'positionsAgo'> {
  const isWanted = replies.all().some((reply) => reply.wantsCommits);
  if (!isWanted) return { positions: {}, marks: {}, positionsAgo: unreportedMilliseconds };
  const { parts } = context;
  return { positions: { ...parts.commitPositions() }, marks: { ...parts.commitWatermarks() }, positionsAgo: parts.commitPositionsAge() };
}

/** All of them where none meets the condition. */
function preferred(cores: readonly Seat[], meets: (core: Seat) => boolean): readonly Seat[] {
  const found = cores.filter(meets);
  return found.length > 0 ? found : cores;
}

/**
 * The core that sends configurations with their content: one that keeps up with the others, of this edge's own area where there is one, and
 * not the same for all edges (design 5.6). Empty while no core is connected.
 */
function contentCore({ context, state, isConnected }: LeaseRequestParts): string {
  const { cores, settings } = context;
  const connected = cores.filter((core) => isConnected(core.node));
  const current = preferred(connected, (core) => state.isCurrent(core.node));
  const choices = preferred(current, (core) => core.area === settings.area);
  const nameSum = [...settings.node].reduce((total, letter) => total + letter.charCodeAt(0), 0);
  return choices[nameSum % Math.max(1, choices.length)]?.node ?? '';
}

/** @param known - what the core said with its last reply */
function create(requestParts: LeaseRequestParts, core: string, known: CoreReply, holdMilliseconds: number): Request<'lease'> {
  const { context, state } = requestParts;
  const { settings, parts } = context;
  const configuration = state.configuration();
  return {
    node: settings.node,
    area: settings.area,
    token: known.isRestarted ? '' : known.token,
    seen: known.isRestarted ? 0 : known.seen,
    hold: holdMilliseconds,
    acknowledged: known.acknowledgedChange,
    obeyed: Option.isSome(configuration) ? configuration.value.version : 0,
    released: pendingReleases(requestParts),
    ...commitReport(requestParts),
    notListening: [...parts.refusedMembers()],
    demand: parts.statementRate(),
    content: core === contentCore(requestParts),
    holds: state.contentBallot(),
    set: context.setNumber,
  };
}

/** @internal */
export const leaseRequests = { create } as const;
