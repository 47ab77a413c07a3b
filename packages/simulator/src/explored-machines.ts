/**
 * Cores that hold a register while their seats change hands, for explorations: acceptors, proposers, steps, learners and copying are
 * the product's own; messages, syncs and losses happen when and as the exploration says (design 4.8, 10.4).
 */
import { memoryDisk } from './memory-disk.js';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  stateTransfer,
  coreSetManager,
  coreSetOf,
  createCoreSetView,
  type CoreCall,
  type CoreSetManager,
  type FleetRecord,
} from '@stallstall/core';
import { identifiers, type Clock, type Disk, type Instant, type Runtime } from '@stallstall/kernel';
import type { Request, CoreSet, MessageKind, Reply, NodeRecord } from '@stallstall/message';
import {
  acceptor,
  proposer,
  coreSetKey,
  type Acceptor,
  type CoreSetSource,
  type CoreSetRegister,
  type RegisterReplica,
} from '@stallstall/register';

/** What an exploration decides: when each thing that is under way happens, if it does, and who hears whom. */
export type Course = Readonly<{
  random: () => number;
  now: () => number;
  /** Has this happen at some later moment; a step is a message that has to do with the set of cores. */
  later: (act: () => void, what: 'message' | 'step' | 'sync' | 'pause') => void;
  /** Whether a message is lost on its way. */
  loses: (from: string, to: string, kind: MessageKind) => boolean;
  /** Whether one machine has not heard another for long. */
  isSilent: (at: string, other: string) => boolean;
}>;

export type Machine = Readonly<{
  name: string;
  isUp: () => boolean;
  /** The set that it stands at; none while it answers nothing. */
  level: () => Option.Option<CoreSet>;
  /** Whether it holds what may decide the step after this set. */
  holdsStep: (after: number) => boolean;
  /** Whether it may be proposing a step for somebody who asked for a seat. */
  isAsked: () => boolean;
  hears: (set: CoreSet) => void;
  leave: () => void;
  /** Ends without a word; with `wiped` its disk is lost as well. */
  crash: (wiped: boolean) => void;
  start: () => void;
}>;

export type Machines = Readonly<{
  all: () => readonly Machine[];
  /** A machine that was founded with the first set, or one that is blank. */
  add: (founders: readonly string[]) => Machine;
  /** A register for somebody who is no core: it learns of sets as it goes on. */
  client: (name: string, first: CoreSet) => CoreSetRegister;
  /** Says one thing to one core, as a proposer would that ended right after. */
  tell: <Kind extends 'prepare' | 'accept'>(seat: NodeRecord, kind: Kind, body: Request<Kind>) => Promise<Option.Option<Reply<Kind>>>;
  newest: () => CoreSet;
  /** Seats whose occupant is not up, not level, or behind. */
  short: () => number;
  /** A step is under way that may still be decided. */
  isStepping: () => boolean;
  seats: (names: readonly string[]) => readonly NodeRecord[];
}>;

type Running = { readonly cells: Acceptor; readonly cores: CoreSetManager; joins: number; fleet: Option.Option<FleetRecord> };
type State = {
  readonly name: string;
  entries: Map<string, unknown>;
  life: number;
  running: Running | undefined;
  readonly waiting: Set<() => void>;
};

/** Clocks of explorations: so that a call and its answer, or a few syncs, take some tenths of a second. */
const millisecondsEach = 10;

/** The seat of a core that is known by its name alone. */
export function seatOf(name: string): NodeRecord {
  return { node: name, role: 'core', area: 'north', address: `${name}:1`, outward: `${name}:2`, draining: false };
}

function isOfSteps(kind: MessageKind, body: unknown): boolean {
  return kind === 'adopt' || kind === 'join' || kind === 'copy' || (body as { key?: string }).key?.startsWith('cores/') === true;
}

function create(course: Course): Machines {
  const states = new Map<string, State>();
  const machines: Machine[] = [];
  let tokens = 0;
  let stepsUnderWay = 0;

  function now(): Instant {
    return identifiers.instant(course.now() * millisecondsEach);
  }

  /** What is under way in a process ends with it: whoever waits in an earlier life waits for ever. */
  function runtimeOf(name: string, alive: () => boolean): Runtime {
    const clock: Clock = {
      now,
      wall: () => identifiers.wallTime(now()),
      sleep: () => new Promise((resolve) => course.later(() => (alive() ? resolve() : undefined), 'pause')),
      startTimer: function startTimer(_milliseconds, act) {
        let cancelled = false;
        course.later(() => (alive() && !cancelled ? act() : undefined), 'pause');
        return {
          cancel: function cancel() {
            cancelled = true;
          },
        };
      },
    };
    return {
      clock,
      randomness: {
        fraction: course.random,
        token: function token() {
          tokens += 1;
          return `${name}${tokens}`;
        },
      },
      log: () => undefined,
    } as unknown as Runtime;
  }

  function diskOf(state: State, alive: () => boolean): Disk {
    return memoryDisk.create(
      () => state.entries,
      (key, value) =>
        new Promise((resolve) =>
          course.later(function sync() {
            if (!alive()) return;
            state.entries.set(key, value);
            resolve(Either.right(null));
          }, 'sync'),
        ),
    );
  }

  async function answer(state: State, kind: MessageKind, body: unknown): Promise<unknown> {
    const running = state.running as Running;
    if (kind === 'prepare') return running.cells.prepare(body as Request<'prepare'>);
    if (kind === 'accept') return running.cells.accept(body as Request<'accept'>);
    if (kind === 'look') return running.cells.look(body as Request<'look'>);
    if (kind === 'adopt') return running.cores.adopt(body as Request<'adopt'>);
    if (kind === 'join') {
      running.joins += 1;
      const reply = await running.cores.join(body as Request<'join'>);
      running.joins -= 1;
      return reply;
    }
    return copied(running, body as Request<'copy'>);
  }

  async function copied(running: Running, ask: Request<'copy'>): Promise<Reply<'copy'>> {
    const isFormed = running.cells.ready() && Option.isSome(running.fleet) && running.fleet.value.stage === 'formed';
    const set = Option.isSome(running.fleet) ? coreSetOf(running.fleet.value).number : 0;
    const page = await running.cells.page(ask.after);
    const read = Either.isRight(page) ? page.right : { entries: [], next: '' };
    const ready = isFormed && Either.isRight(page);
    return { ready, ...(isFormed ? { set } : {}), votes: {}, notes: { floors: {}, reports: [], through: {} }, ...read };
  }

  /** A call is answered, lost, or, once its callee has ended, given up. */
  function callFrom(from: string, alive: () => boolean): CoreCall {
    function call(address: string, kind: MessageKind, body: unknown): Promise<Option.Option<unknown>> {
      return new Promise(function carry(resolve) {
        const what = isOfSteps(kind, body) ? 'step' : 'message';
        const steps = kind === 'accept' && (body as Request<'accept'>).key.startsWith('cores/') ? 1 : 0;
        stepsUnderWay += steps;
        function settle(reply: Option.Option<unknown>): void {
          stepsUnderWay -= steps;
          course.later(() => (alive() ? resolve(reply) : undefined), what);
        }
        const state = states.get(address.split(':')[0] as string);
        if (state === undefined || course.loses(from, state.name, kind)) return settle(Option.none);
        course.later(function arrive() {
          if (state.running === undefined) return settle(Option.none);
          function giveUp(): void {
            settle(Option.none);
          }
          state.waiting.add(giveUp);
          void answer(state, kind, body).then(function replied(reply) {
            if (!state.waiting.delete(giveUp)) return;
            settle(course.loses(state.name, from, kind) ? Option.none : Option.some(reply));
          });
        }, what);
        return undefined;
      });
    }
    return call as CoreCall;
  }

  function registerFrom(
    name: string,
    runtime: Runtime,
    call: CoreCall,
    set: () => CoreSet,
    learn: CoreSetSource['observe'],
  ): CoreSetRegister {
    return proposer.create(runtime, {
      name,
      replicas: () =>
        set().seats.map((seat): RegisterReplica => ({ core: seat.node, send: (kind, body, time) => call(seat.address, kind, body, time) })),
      replicaCount: () => set().seats.length,
      coreSets: { number: () => set().number, observe: learn },
    });
  }

  function begin(state: State): void {
    const { life } = state;
    function alive(): boolean {
      return state.life === life;
    }
    const runtime = runtimeOf(state.name, alive);
    const disk = diskOf(state, alive);
    const call = callFrom(state.name, alive);
    let between = false;
    const running = { joins: 0, fleet: Option.fromNullable(state.entries.get('fleet') as FleetRecord | undefined) } as Running;
    const cells = acceptor.create({
      disk,
      stored: state.entries,
      onAccepted: () => undefined,
      onDamaged: () => undefined,
      coreSet: createCoreSetView(
        () => running.fleet,
        () => between,
      ),
    });
    const register = registerFrom(
      state.name,
      runtime,
      call,
      () => (Option.isSome(running.fleet) ? coreSetOf(running.fleet.value) : { number: 0, seats: [], epochs: {} }),
      (set) => running.cores.observe(set),
    );
    const created = coreSetManager.create(runtime, {
      node: {
        settings: {
          node: state.name,
          area: 'north',
          address: `${state.name}:1`,
          outward: `${state.name}:2`,
          seeds: () => [],
          platform: () => '',
        },
        ownRecord: () => seatOf(state.name),
        lastHeartbeatAt: (other) => Option.some(course.isSilent(state.name, other) ? identifiers.instant(0) : now()),
        setFleet: () => undefined,
      },
      register,
      callCore: call,
      cells,
      transfer: stateTransfer.create(runtime, {
        callCore: call,
        cells,
        reports: { store: () => Promise.resolve({ ready: true, floors: {} }), isSynced: () => true },
        votes: { epochs: () => Promise.resolve({}), record: () => Promise.resolve(true) },
        stopped: () => !alive(),
      }),
      record: () => running.fleet,
      saveRecord: async function keepFleet(next) {
        await disk.put('fleet', next);
        running.fleet = Option.some(next);
        return true;
      },
      open: cells.open,
      changeSet: () => undefined,
      close: cells.close,
      onSetTransition: function onBetweenSets(isBetween) {
        between = isBetween;
      },
    });
    Object.assign(running, { cells, cores: created });
    state.running = running;
    if (Option.isSome(running.fleet) && running.fleet.value.stage === 'formed') cells.open();
    created.start();
  }

  function end(state: State, wiped: boolean): void {
    state.life += 1;
    state.running = undefined;
    if (wiped) state.entries = new Map();
    for (const giveUp of state.waiting) giveUp();
    state.waiting.clear();
  }

  function machineOf(state: State): Machine {
    function level(): Option.Option<CoreSet> {
      const { running } = state;
      return running !== undefined && running.cells.ready() && Option.isSome(running.fleet) && running.fleet.value.stage === 'formed'
        ? Option.some(coreSetOf(running.fleet.value))
        : Option.none;
    }
    return {
      name: state.name,
      isUp: () => state.running !== undefined,
      level,
      isAsked: () => state.running !== undefined && state.running.joins > 0,
      holdsStep: (after) => state.running !== undefined && Option.isSome(state.running.cells.accepted(coreSetKey(after))),
      hears: function hears(set) {
        if (state.running === undefined) return;
        if (Option.isSome(level())) state.running.cores.observe(set);
        else state.running.cores.onFleetFound('explored', set);
      },
      leave: function leave() {
        void state.running?.cores.handOverMembership(identifiers.instant(Number.POSITIVE_INFINITY));
      },
      crash: (wiped) => end(state, wiped),
      start: () => begin(state),
    };
  }

  function add(founders: readonly string[]): Machine {
    const name = `m${machines.length + 1}`;
    const state: State = { name, entries: new Map(), life: 0, running: undefined, waiting: new Set() };
    states.set(name, state);
    if (founders.includes(name))
      state.entries.set('fleet', { fleet: 'explored', node: name, cores: founders.map(seatOf), stage: 'formed', number: 1, epochs: {} });
    const machine = machineOf(state);
    machines.push(machine);
    begin(state);
    return machine;
  }

  function client(name: string, first: CoreSet): CoreSetRegister {
    let set = first;
    return registerFrom(
      name,
      runtimeOf(name, () => true),
      callFrom(name, () => true),
      () => set,
      function learn(newer) {
        if (newer.number > set.number) set = newer;
      },
    );
  }

  function isStanding(seat: NodeRecord, set: CoreSet): boolean {
    const machine = machines.find((one) => one.name === seat.node);
    const level = machine === undefined ? Option.none : machine.level();
    return Option.isSome(level) && level.value.number === set.number;
  }

  function newest(): CoreSet {
    const sets = machines.flatMap((machine) => {
      const set = machine.level();
      return Option.isSome(set) ? [set.value] : [];
    });
    return sets.sort((left, right) => right.number - left.number)[0] ?? { number: 0, seats: [], epochs: {} };
  }

  return {
    all: () => machines,
    add,
    client,
    tell: (seat, kind, body) => callFrom('stranger', () => true)(seat.address, kind, body, 0),
    newest,
    short: function short() {
      const set = newest();
      return set.number === 0 ? Number.POSITIVE_INFINITY : set.seats.filter((seat) => !isStanding(seat, set)).length;
    },
    isStepping: function isStepping() {
      const set = newest();
      return stepsUnderWay > 0 || machines.some((machine) => machine.holdsStep(set.number) || machine.isAsked());
    },
    seats: (names) => names.map(seatOf),
  };
}

export const exploredMachines = { create } as const;
