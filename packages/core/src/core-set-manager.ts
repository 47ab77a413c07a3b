/** The set of cores that changes by itself: which set this core is in, and whom it gives a seat to (design 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, owner, type Instant, type Runtime } from '@stallstall/kernel';
import type { CoreSet, Reply, Request, Seat } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { coreSetChanges, coreSetKey, isSameNodeAndDisk, type ConfirmedCores, type CoreSetChanges } from '@stallstall/register';
import type { CoreSetManagerParts, CoreSetState } from './core-set-state.js';
import { coreSetMembership, type CoreSetMembership } from './core-set-membership.js';

export type { CoreSetManagerParts } from './core-set-state.js';

export type CoreSetManager = Readonly<{
  /** Another core proposes that this one adopts a set. */
  adopt: (request: Request<'adopt'>) => Promise<Reply<'adopt'>>;
  /** A node asks for a seat. */
  join: (request: Request<'join'>) => Promise<Reply<'join'>>;
  /** Some core reported this set. */
  observe: (set: CoreSet) => void;
  /** A formed fleet was found that this core is not, or not any more, a core of. */
  onFleetFound: (fleet: string, set: CoreSet) => void;
  /** This disk cannot be trusted to hold what it promised: the core goes on as one that lost its disk. */
  abandonDisk: () => Promise<boolean>;
  /** Offers this core's own seat, until a learner that waits for one has it, or until the deadline. */
  handOverSeat: (deadline: Instant) => Promise<void>;
  start: () => void;
  stop: () => void;
}>;

type Manager = Readonly<{ state: CoreSetState; membership: CoreSetMembership; changes: CoreSetChanges }>;

/** The seat of a core that nobody has heard for so long is vacant, if somebody asks for it. */
const silentMilliseconds = 1_000;
const roundMilliseconds = 250;
const callMilliseconds = 800;
/** A learner that asked so lately still waits for a seat: it asks all cores in turn, without end. */
const learnerMilliseconds = 1_500;
const handOverPollMilliseconds = 20;
/** The longest reason that a reply may carry. Unit: characters. */
const reasonLength = 300;

/** Cores that were not heard for long; one that has just begun to listen reports none. */
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
  // A blank core may know no seed that still runs, while the cores of the fleet go on calling it where it was seated.
  if (Option.isNone(parts.record()) && !state.isStopped && !state.isLeaving)
    void commands.run(() => membership.becomeLearner(request.fleet, request.set));
  const adopted = await commands.run(() => membership.adopt(request.fleet, request.set));
  const known = parts.record();
  const isFormed = Option.isSome(known) && known.value.fleet === request.fleet && known.value.stage === 'formed';
  const own = membership.set();
  const silent = [...silentCores(state, own)];
  return { adopted, silent, ...(isFormed && own.number > request.set.number ? { newer: own } : {}) };
}

/** Asks a core to adopt a set; none when it does not reply. */
async function requestAdopt(manager: Manager, seat: Seat, set: CoreSet): Promise<Option.Option<Reply<'adopt'>>> {
  const { state, membership } = manager;
  const { parts } = state;
  const known = parts.record();
  if (Option.isNone(known)) return Option.none;
  const request: Request<'adopt'> = { fleet: known.value.fleet, set };
  if (seat.address === parts.node.ownSeat().address) return Option.some(await adopt(manager, request));
  // Whoever was silent for long would only be waited for; it hears of the set from whoever it reaches first.
  if (silentCores(state, membership.set()).includes(seat.node)) return Option.none;
  return parts.callCore(seat.address, 'adopt', request, callMilliseconds);
}

/** A node that is listed with another disk, or elsewhere, has its own seat only; else whoever is gone goes first. */
function vacancies({ parts, isLeaving }: CoreSetState, occupant: Seat, set: CoreSet, confirmed: ConfirmedCores): readonly string[] {
  if (quorum.findNode(set, occupant.node) !== undefined) return [occupant.node];
  const gone = set.seats.map((seat) => seat.node).filter((core) => confirmed.unreachable.has(core) && !confirmed.upToDate.includes(core));
  return isLeaving ? [...gone, parts.node.settings.node] : gone;
}

/** What this core alone can tell, before all others are asked. */
function mayBeVacant({ state, membership }: Manager, occupant: Seat): boolean {
  const set = membership.set();
  return state.isLeaving || silentCores(state, set).length > 0 || quorum.findNode(set, occupant.node) !== undefined;
}

async function join(manager: Manager, { seat }: Request<'join'>): Promise<Reply<'join'>> {
  const { state, membership, changes } = manager;
  const { runtime, parts } = state;
  if (!parts.cells.ready()) return { joined: false, reason: 'this core is not open yet' };
  const listed = membership.set().seats.find((one) => isSameNodeAndDisk(one, seat));
  if (listed?.address === seat.address) return { joined: true, reason: '', set: membership.set() };
  if (listed === undefined) state.learnerAskedAt = runtime.clock.now();
  if (!mayBeVacant(manager, seat)) return { joined: false, reason: 'no seat is vacant', set: membership.set() };
  runtime.log('core.proposes', { node: seat.node, set: membership.set().number + 1 });
  const changed = await changes.replaceNode(seat, (set, confirmed) => vacancies(state, seat, set, confirmed));
  if (Either.isLeft(changed)) return { joined: false, reason: changed.left.message.slice(0, reasonLength), set: membership.set() };
  runtime.log('core.seated', { node: seat.node, set: changed.right.number });
  return { joined: true, reason: '', set: changed.right };
}

async function handOverSeat({ state }: Manager, deadline: Instant): Promise<void> {
  const { clock } = state.runtime;
  state.isLeaving = true;
  function isLearnerWaiting(): boolean {
    return clock.now() - state.learnerAskedAt < learnerMilliseconds;
  }
  while (state.parts.cells.ready() && !state.isStopped && clock.now() < deadline && isLearnerWaiting()) {
    await clock.sleep(handOverPollMilliseconds);
  }
}

/** Completes a step that another core left behind. */
async function completeInterruptedStep({ state, membership, changes }: Manager): Promise<void> {
  const { cells } = state.parts;
  const isDecided = cells.ready() && Option.isSome(cells.accepted(coreSetKey(membership.set().number)));
  if (isDecided) await changes.completeInterrupted();
}

/** A core that came back at another address has itself listed there. */
async function correctAddress(manager: Manager): Promise<void> {
  const { state, membership } = manager;
  const own = membership.ownSeat();
  const listed = membership.set().seats.find((seat) => isSameNodeAndDisk(seat, own));
  if (!state.parts.cells.ready() || listed === undefined || listed.address === state.parts.node.ownSeat().address) return;
  await join(manager, { seat: own });
}

function start(manager: Manager): void {
  async function runRound(): Promise<void> {
    await completeInterruptedStep(manager);
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
    learnerAskedAt: identifiers.instant(Number.NEGATIVE_INFINITY),
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
    handOverSeat: (deadline) => handOverSeat(manager, deadline),
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
