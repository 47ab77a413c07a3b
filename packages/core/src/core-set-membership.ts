/** The core set that this core's disk belongs to; synced to the disk before this core answers anything in that set (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, NodeRecord } from '@stallstall/message';
import { isSameNodeAndDisk } from '@stallstall/register';
import type { CoreSetState } from './core-set-state.js';
import { coreSetOf, type FleetRecord } from './fleet-record.js';
import { learner, type LearnerStep } from './learner.js';

/** The caller runs functions that change the record one at a time. @internal */
export type CoreSetMembership = Readonly<{
  /** The set on this disk; number 0 and empty while the disk belongs to no fleet. */
  set: () => CoreSet;
  /** This node's entry for a core set, with its current disk identity. */
  ownSeat: () => NodeRecord;
  /** Moves to the set if it is newer; resolves to true when this core is then isStillListed in it. */
  adopt: (fleet: string, set: CoreSet) => Promise<boolean>;
  /** Called with every set that another core reports. */
  observe: (set: CoreSet) => void;
  /** Becomes a learner of a fleet that was found, unless this core is already in a core set. */
  becomeLearner: (fleet: string, set: CoreSet) => Promise<void>;
  /** Becomes a learner with a new disk identity, as after a lost disk; resolves to true once that is synced. */
  abandonDisk: () => Promise<boolean>;
  learnerStep: () => LearnerStep;
}>;

const noSet: CoreSet = { number: 0, seats: [], epochs: {} };

/** The record, changed to name this set. */
function withCoreSet(record: FleetRecord, set: CoreSet): FleetRecord {
  return { ...record, cores: set.seats, number: set.number, epochs: set.epochs };
}

/** The record of a learner. Its disk gets a new identity, which no set lists yet, since it may lack ballots promised under the old one. */
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
    const record = parts.record();
    return Option.isSome(record) ? coreSetOf(record.value) : noSet;
  }

  function ownSeat(): NodeRecord {
    const record = parts.record();
    const disk = Option.isSome(record) ? record.value.disk : undefined;
    return { ...node.ownRecord(), ...(disk === undefined ? {} : { disk }) };
  }

  function isListed(coreSet: CoreSet): boolean {
    return coreSet.seats.some((seat) => isSameNodeAndDisk(seat, ownSeat()));
  }

  const coreLearner = learner.create(runtime, {
    callCore: parts.callCore,
    cells,
    transfer: parts.transfer,
    ownSeat,
    seeds: node.settings.seeds,
    shouldRun: () => !state.isStopped && !state.isLeaving && !cells.ready(),
    open: (coreSet) => commands.run(() => openIn(coreSet)),
  });

  function enterSet(coreSet: CoreSet): void {
    state.inSetSince = runtime.clock.now();
    runtime.log('core.set', { number: coreSet.number, cores: coreSet.seats.length });
  }

  async function openIn(coreSet: CoreSet): Promise<boolean> {
    const record = parts.record();
    if (state.isStopped || state.isLeaving || Option.isNone(record) || record.value.stage === 'formed' || !isListed(coreSet)) return false;
    const next: FleetRecord = { ...withCoreSet(record.value, coreSet), stage: 'formed' };
    if (!(await parts.saveRecord(next))) return false;
    enterSet(coreSet);
    parts.open(next);
    return true;
  }

  function leaveSet(coreSet: CoreSet): void {
    state.inSetSince = runtime.clock.now();
    runtime.log('core.departed', { set: coreSet.number });
    parts.close(coreSet);
    coreLearner.observe(coreSet);
  }

  async function moveTo(record: FleetRecord, coreSet: CoreSet): Promise<boolean> {
    const isStillListed = isListed(coreSet);
    parts.onSetTransition(true);
    const isSaved = await parts.saveRecord(isStillListed ? withCoreSet(record, coreSet) : learnerRecord(state, record.fleet, coreSet));
    parts.onSetTransition(false);
    if (!isSaved) return false;
    if (!isStillListed) {
      leaveSet(coreSet);
      return false;
    }
    enterSet(coreSet);
    const saved = parts.record();
    if (cells.ready() && Option.isSome(saved)) parts.changeSet(saved.value);
    return true;
  }

  async function adopt(fleet: string, coreSet: CoreSet): Promise<boolean> {
    const record = parts.record();
    if (state.isStopped || Option.isNone(record) || record.value.fleet !== fleet) return false;
    if (record.value.stage === 'founding') return openIn(coreSet);
    if (record.value.stage !== 'formed') {
      coreLearner.observe(coreSet);
      return false;
    }
    const own = set();
    return coreSet.number <= own.number ? coreSet.number === own.number : moveTo(record.value, coreSet);
  }

  function observe(coreSet: CoreSet): void {
    const record = parts.record();
    if (Option.isNone(record)) return;
    const isNewer = record.value.stage !== 'formed' || coreSet.number > set().number;
    if (isNewer) void commands.run(() => adopt(record.value.fleet, coreSet));
  }

  async function becomeLearner(fleet: string, coreSet: CoreSet): Promise<void> {
    const record = parts.record();
    const stage = Option.isSome(record) ? record.value.stage : undefined;
    if (stage === 'formed' || cells.ready()) return;
    const isLearner = Option.isSome(record) && record.value.disk !== undefined && stage === 'joining';
    if (!isLearner && !(await parts.saveRecord(learnerRecord(state, fleet, coreSet)))) return;
    node.setFleet(fleet);
    coreLearner.observe(coreSet);
  }

  async function abandonDisk(): Promise<boolean> {
    const record = parts.record();
    return Option.isSome(record) && (await parts.saveRecord(learnerRecord(state, record.value.fleet, set())));
  }

  return { set, ownSeat, adopt, observe, becomeLearner, abandonDisk, learnerStep: coreLearner.step };
}

/** @internal */
export const coreSetMembership = { create } as const;
