/** Which set of cores this core's disk is in: on the disk before anything is answered in it (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, Seat } from '@stallstall/message';
import { isSameNodeAndDisk } from '@stallstall/register';
import type { CoreSetState } from './core-set-state.js';
import { coreSetOf, type FleetRecord } from './fleet-record.js';
import { learner } from './learner.js';

/** Commands that change the record are to be run one at a time. @internal */
export type CoreSetMembership = Readonly<{
  /** The set on this disk; number 0 and empty while it is of no fleet. */
  set: () => CoreSet;
  /** This node with the disk that it has now. */
  ownSeat: () => Seat;
  /** Resolves to true when this core is in the set. */
  adopt: (fleet: string, set: CoreSet) => Promise<boolean>;
  /** Some core reported this set. */
  observe: (set: CoreSet) => void;
  /** Becomes a core without a seat in a fleet that was found, unless this core has one. */
  becomeLearner: (fleet: string, set: CoreSet) => Promise<void>;
  /** Resolves to true once this core is one that lost its disk. */
  abandonDisk: () => Promise<boolean>;
}>;

const noSet: CoreSet = { number: 0, seats: [], epochs: {} };

/** The record in a set. */
function inSet(known: FleetRecord, set: CoreSet): FleetRecord {
  return { ...known, cores: set.seats, number: set.number, epochs: set.epochs };
}

/** The record of a core that promised nothing to anybody: it has a disk of its own name, which no set lists yet. */
function learnerRecord({ runtime, parts }: CoreSetState, fleet: string, set: CoreSet): FleetRecord {
  return {
    fleet,
    node: parts.node.settings.node,
    cores: set.seats,
    number: set.number,
    epochs: set.epochs,
    stage: 'joining',
    disk: runtime.randomness.token(),
  };
}

function create(state: CoreSetState): CoreSetMembership {
  const { runtime, parts, commands } = state;
  const { node, cells } = parts;

  function set(): CoreSet {
    const known = parts.record();
    return Option.isSome(known) ? coreSetOf(known.value) : noSet;
  }

  function ownSeat(): Seat {
    const known = parts.record();
    const disk = Option.isSome(known) ? known.value.disk : undefined;
    return { ...node.ownSeat(), ...(disk === undefined ? {} : { disk }) };
  }

  function isListed(given: CoreSet): boolean {
    return given.seats.some((seat) => isSameNodeAndDisk(seat, ownSeat()));
  }

  const learning = learner.create(runtime, {
    callCore: parts.callCore,
    cells,
    transfer: parts.transfer,
    ownSeat,
    seeds: node.settings.seeds,
    shouldRun: () => !state.isStopped && !state.isLeaving && !cells.ready(),
    open: (given) => commands.run(() => openIn(given)),
  });

  function enter(given: CoreSet): void {
    state.inSetSince = runtime.clock.now();
    runtime.log('core.set', { number: given.number, cores: given.seats.length });
  }

  async function openIn(given: CoreSet): Promise<boolean> {
    const known = parts.record();
    if (state.isStopped || state.isLeaving || Option.isNone(known) || known.value.stage === 'formed' || !isListed(given)) return false;
    const next: FleetRecord = { ...inSet(known.value, given), stage: 'formed' };
    if (!(await parts.saveRecord(next))) return false;
    enter(given);
    parts.open(next);
    return true;
  }

  function leaveSet(given: CoreSet): void {
    state.inSetSince = runtime.clock.now();
    runtime.log('core.departed', { set: given.number });
    parts.close(given);
    learning.observe(given);
  }

  async function moveTo(known: FleetRecord, given: CoreSet): Promise<boolean> {
    const listed = isListed(given);
    parts.onSetTransition(true);
    const isKept = await parts.saveRecord(listed ? inSet(known, given) : learnerRecord(state, known.fleet, given));
    parts.onSetTransition(false);
    if (!isKept) return false;
    if (!listed) {
      leaveSet(given);
      return false;
    }
    enter(given);
    const record = parts.record();
    if (cells.ready() && Option.isSome(record)) parts.changeSet(record.value);
    return true;
  }

  async function adopt(fleet: string, given: CoreSet): Promise<boolean> {
    const known = parts.record();
    if (state.isStopped || Option.isNone(known) || known.value.fleet !== fleet) return false;
    if (known.value.stage === 'founding') return openIn(given);
    if (known.value.stage !== 'formed') {
      learning.observe(given);
      return false;
    }
    const own = set();
    return given.number <= own.number ? given.number === own.number : moveTo(known.value, given);
  }

  function observe(given: CoreSet): void {
    const known = parts.record();
    if (Option.isNone(known)) return;
    const isNewer = known.value.stage !== 'formed' || given.number > set().number;
    if (isNewer) void commands.run(() => adopt(known.value.fleet, given));
  }

  async function becomeLearner(fleet: string, given: CoreSet): Promise<void> {
    const known = parts.record();
    const stage = Option.isSome(known) ? known.value.stage : undefined;
    if (stage === 'formed' || cells.ready()) return;
    const isLearner = Option.isSome(known) && known.value.disk !== undefined && stage === 'joining';
    if (!isLearner && !(await parts.saveRecord(learnerRecord(state, fleet, given)))) return;
    node.setFleet(fleet);
    learning.observe(given);
  }

  async function abandonDisk(): Promise<boolean> {
    const known = parts.record();
    return Option.isSome(known) && (await parts.saveRecord(learnerRecord(state, known.value.fleet, set())));
  }

  return { set, ownSeat, adopt, observe, becomeLearner, abandonDisk };
}

/** @internal */
export const coreSetMembership = { create } as const;
