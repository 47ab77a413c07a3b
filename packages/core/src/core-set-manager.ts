/** Changes the core set without an operator: follows the newest set, and lets a learner replace an unreachable core (design 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, owner, type Instant, type Runtime } from '@stallstall/kernel';
import type { CoreSet, Reply, Request, NodeRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { coreSetChanges, coreSetKey, isSameNodeAndDisk, type ConfirmedCores, type CoreSetChanges } from '@stallstall/register';
import type { CoreSetManagerParts, CoreSetState } from './core-set-state.js';
import { coreSetMembership, type CoreSetMembership } from './core-set-membership.js';
import type { LearnerStep } from './learner.js';

export type { CoreSetManagerParts } from './core-set-state.js';

export type CoreSetManager = Readonly<{
  /** Handles another core's request to adopt a set. */
  adopt: (request: Request<'adopt'>) => Promise<Reply<'adopt'>>;
  /** Handles a node's request to be listed in the core set. */
  join: (request: Request<'join'>) => Promise<Reply<'join'>>;
  /** Called with every set that another core reports. */
  observe: (set: CoreSet) => void;
  /** Called when discovery finds a formed fleet whose core set does not, or no longer does, list this core. */
  onFleetFound: (fleet: string, set: CoreSet) => void;
  /** Makes this core a learner with a new disk identity, since its disk may lack ballots that it promised or accepted. */
  abandonDisk: () => Promise<boolean>;
  /** Lets a waiting learner replace this core; resolves once it has, when no learner waits, or at the deadline. */
  handOverMembership: (deadline: Instant) => Promise<void>;
  /** What this core is doing while no core set lists it. */
  learnerStep: () => LearnerStep;
  start: () => void;
  stop: () => void;
}>;

type Manager = Readonly<{ state: CoreSetState; membership: CoreSetMembership; changes: CoreSetChanges }>;

/** A core without a heartbeat for this long may be replaced by a node that asks to join. */
const silentMilliseconds = 1_000;
const roundMilliseconds = 250;
const callMilliseconds = 800;
/** A learner whose last join request is younger than this is still waiting, since it keeps asking all cores in turn. */
const learnerWaitMilliseconds = 1_500;
const handOverPollMilliseconds = 20;
/** Longest reason in a reply, in characters. */
const maxReasonLength = 300;

/** Cores without a recent heartbeat. Counted from when this core entered its set, so that a core that has just started reports none. */
function silentCores({ runtime, parts, inSetSince }: CoreSetState, set: CoreSet): readonly string[] {
  const now = runtime.clock.now();
  return set.seats
    .map((seat) => seat.node)
    .filter(function isSilent(core) {
      if (core === parts.node.settings.node) return false;
      const heardAt = Option.getOrElse(() => inSetSince)(parts.node.lastHeartbeatAt(core));
      return now - Math.max(inSetSince, heardAt) > silentMilliseconds;
    });
}

async function adopt({ state, membership }: Manager, request: Request<'adopt'>): Promise<Reply<'adopt'>> {
  const { parts, commands } = state;
  // A core that lost its disk may have no seed that still runs, but the cores of the fleet keep calling its listed address.
  if (Option.isNone(parts.record()) && !state.isStopped && !state.isLeaving)
    void commands.run(() => membership.becomeLearner(request.fleet, request.set));
  const adopted = await commands.run(() => membership.adopt(request.fleet, request.set));
  const record = parts.record();
  const isFormed = Option.isSome(record) && record.value.fleet === request.fleet && record.value.stage === 'formed';
  const own = membership.set();
  const silent = [...silentCores(state, own)];
  return { adopted, silent, ...(isFormed && own.number > request.set.number ? { newer: own } : {}) };
}

/** Asks a core to adopt a set; none when it does not reply in time. */
async function requestAdopt(manager: Manager, seat: NodeRecord, set: CoreSet): Promise<Option.Option<Reply<'adopt'>>> {
  const { state, membership } = manager;
  const { parts } = state;
  const record = parts.record();
  if (Option.isNone(record)) return Option.none;
  const request: Request<'adopt'> = { fleet: record.value.fleet, set };
  if (seat.address === parts.node.ownRecord().address) return Option.some(await adopt(manager, request));
  // A call to a silent core would only run into its timeout. Once that core is back, it learns the set from the first core it reaches.
  if (silentCores(state, membership.set()).includes(seat.node)) return Option.none;
  return parts.callCore(seat.address, 'adopt', request, callMilliseconds);
}

/**
 * Cores that the joining node may replace, in order of preference. A node that is listed with another disk or address may only replace
 * its own entry; any other node replaces an unreachable core first, and this core if it is leaving.
 */
function findReplaceableCores(
  { parts, isLeaving }: CoreSetState,
  joiningNode: NodeRecord,
  set: CoreSet,
  confirmed: ConfirmedCores,
): readonly string[] {
  if (quorum.findNode(set, joiningNode.node) !== undefined) return [joiningNode.node];
  const unreachable = set.seats
    .map((seat) => seat.node)
    .filter((core) => confirmed.unreachable.has(core) && !confirmed.upToDate.includes(core));
  return isLeaving ? [...unreachable, parts.node.settings.node] : unreachable;
}

/** Whether, as far as this core itself knows, some core may be replaced; if not, the other cores need not be asked. */
function mayReplaceCore({ state, membership }: Manager, joiningNode: NodeRecord): boolean {
  const set = membership.set();
  return state.isLeaving || silentCores(state, set).length > 0 || quorum.findNode(set, joiningNode.node) !== undefined;
}

async function join(manager: Manager, { seat }: Request<'join'>): Promise<Reply<'join'>> {
  const { state, membership, changes } = manager;
  const { runtime, parts } = state;
  if (!parts.cells.ready()) return { joined: false, reason: 'this core does not answer ballots yet' };
  const listed = membership.set().seats.find((listedSeat) => isSameNodeAndDisk(listedSeat, seat));
  if (listed?.address === seat.address) return { joined: true, reason: '', set: membership.set() };
  if (listed === undefined) state.lastJoinRequestAt = runtime.clock.now();
  if (!mayReplaceCore(manager, seat)) return { joined: false, reason: 'no core of the set may be replaced', set: membership.set() };
  runtime.log('core.proposes', { node: seat.node, set: membership.set().number + 1 });
  const changed = await changes.replaceNode(seat, (set, confirmed) => findReplaceableCores(state, seat, set, confirmed));
  if (Either.isLeft(changed)) return { joined: false, reason: changed.left.message.slice(0, maxReasonLength), set: membership.set() };
  runtime.log('core.seated', { node: seat.node, set: changed.right.number });
  return { joined: true, reason: '', set: changed.right };
}

async function handOverMembership({ state }: Manager, deadline: Instant): Promise<void> {
  const { clock } = state.runtime;
  state.isLeaving = true;
  function isLearnerWaiting(): boolean {
    return clock.now() - state.lastJoinRequestAt < learnerWaitMilliseconds;
  }
  while (state.parts.cells.ready() && !state.isStopped && clock.now() < deadline && isLearnerWaiting()) {
    await clock.sleep(handOverPollMilliseconds);
  }
}

/** Completes a set change that was decided but not spread, because its proposer failed. */
async function completeInterruptedChange({ state, membership, changes }: Manager): Promise<void> {
  const { cells } = state.parts;
  const isDecided = cells.ready() && Option.isSome(cells.accepted(coreSetKey(membership.set().number)));
  if (isDecided) await changes.completeInterrupted();
}

/** Updates this core's address in the set after a restart at another address. */
async function correctAddress(manager: Manager): Promise<void> {
  const { state, membership } = manager;
  const own = membership.ownSeat();
  const listed = membership.set().seats.find((seat) => isSameNodeAndDisk(seat, own));
  if (!state.parts.cells.ready() || listed === undefined || listed.address === state.parts.node.ownRecord().address) return;
  await join(manager, { seat: own });
}

function start(manager: Manager): void {
  async function runRound(): Promise<void> {
    await completeInterruptedChange(manager);
    await correctAddress(manager);
  }
  void runtimeUtilities.every(manager.state.runtime.clock, roundMilliseconds, runRound, () => !manager.state.isStopped);
}

function assemble(runtime: Runtime, parts: CoreSetManagerParts): Manager {
  const state: CoreSetState = {
    runtime,
    parts,
    commands: owner.create('core set', null),
    inSetSince: runtime.clock.now(),
    lastJoinRequestAt: identifiers.instant(Number.NEGATIVE_INFINITY),
    isLeaving: false,
    isStopped: false,
  };
  const membership = coreSetMembership.create(state);
  const changes = coreSetChanges.create({
    set: membership.set,
    registerForCoreSet: parts.register.forCoreSet,
    adopt: (seat, set) => requestAdopt(manager, seat, set),
    observe: membership.observe,
  });
  const manager: Manager = { state, membership, changes };
  return manager;
}

function create(runtime: Runtime, parts: CoreSetManagerParts): CoreSetManager {
  const manager = assemble(runtime, parts);
  const { state, membership } = manager;
  return {
    adopt: (request) => adopt(manager, request),
    join: (request) => join(manager, request),
    observe: membership.observe,
    handOverMembership: (deadline) => handOverMembership(manager, deadline),
    learnerStep: membership.learnerStep,
    abandonDisk: () => state.commands.run(membership.abandonDisk),
    onFleetFound: function fleetFound(fleet, set) {
      if (!state.isStopped && !state.isLeaving) void state.commands.run(() => membership.becomeLearner(fleet, set));
    },
    start: () => start(manager),
    stop: function stop() {
      state.isStopped = true;
    },
  };
}

export const coreSetManager = { create } as const;
