/** Creates the request by which an edge asks a core for leases (design 7.12). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Request, NodeRecord } from '@stallstall/message';
import type { CoreReplies, ReportedState } from './core-replies.js';
import type { HolderContext } from './holder-context.js';
import type { HolderState } from './holder-state.js';

/** @internal */
export type LeaseRequestInputs = Readonly<{
  context: HolderContext;
  state: HolderState;
  replies: CoreReplies;
  /** Whether there is an open connection to a core. */
  isConnected: (core: string) => boolean;
}>;

/** The age reported while no core asks for commit positions. */
const noReportAgeMilliseconds = 3_600_000;

/** The released epochs that an election may still wait for. None does once a primary is elected at that epoch. */
function pendingReleases({ context, state }: LeaseRequestInputs): Record<string, number> {
  const pending = Object.entries(context.callbacks.releasedEpochs()).filter(function isPending([service, epoch]) {
    const elected = state.electedPrimary(service);
    return Option.isNone(elected) || epoch > elected.value.epoch;
  });
  return Object.fromEntries(pending);
}

/** This edge's commit positions; empty unless a core asks for them, since they are only needed then. */
function commitReport({ context, replies }: LeaseRequestInputs): Pick<Request<'lease'>, 'positions' | 'marks' | 'positionsAgo'> {
  const isReportWanted = replies.all().some((reported) => reported.wantsCommitReport);
  if (!isReportWanted) return { positions: {}, marks: {}, positionsAgo: noReportAgeMilliseconds };
  const { callbacks } = context;
  return {
    positions: { ...callbacks.commitPositions() },
    marks: { ...callbacks.commitWatermarks() },
    positionsAgo: callbacks.commitPositionsAge(),
  };
}

/** The cores that match the condition; all of them when none does. */
function preferred(cores: readonly NodeRecord[], matches: (core: NodeRecord) => boolean): readonly NodeRecord[] {
  const matching = cores.filter(matches);
  return matching.length > 0 ? matching : cores;
}

/**
 * The core that is asked to push configurations with their full content: preferably one that is up to date and in this edge's area. The
 * choice is spread over the cores by a hash of the edge's name (design 5.6). Empty while no core is connected.
 */
function contentCore({ context, state, isConnected }: LeaseRequestInputs): string {
  const { cores, settings } = context;
  const connected = cores.filter((core) => isConnected(core.node));
  const current = preferred(connected, (core) => state.isCurrent(core.node));
  const candidates = preferred(current, (core) => core.area === settings.area);
  const nameSum = [...settings.node].reduce((total, character) => total + character.charCodeAt(0), 0);
  return candidates[nameSum % Math.max(1, candidates.length)]?.node ?? '';
}

/** @param reportedState - what the core reported with its replies */
function create(inputs: LeaseRequestInputs, core: string, reportedState: ReportedState, holdMilliseconds: number): Request<'lease'> {
  const { context, state } = inputs;
  const { settings, callbacks } = context;
  const configuration = state.configuration();
  return {
    node: settings.node,
    area: settings.area,
    token: reportedState.announcesRestart ? '' : reportedState.token,
    seen: reportedState.announcesRestart ? 0 : reportedState.seenUpdate,
    hold: holdMilliseconds,
    acknowledged: reportedState.acknowledgedChange,
    obeyed: Option.isSome(configuration) ? configuration.value.version : 0,
    released: pendingReleases(inputs),
    ...commitReport(inputs),
    notListening: [...callbacks.refusedMembers()],
    demand: callbacks.statementRate(),
    content: core === contentCore(inputs),
    holds: state.contentBallot(),
    set: context.setNumber,
  };
}

/** @internal */
export const leaseRequests = { create } as const;
