/**
 * Simulated cores of a register whose core set changes, for explorations. Acceptors, proposers, core set changes, learners and state
 * transfer are production code; the exploration decides when messages, disk syncs and losses happen (design 4.8, 10.4).
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

/** What an exploration decides: when each pending event happens, which messages are lost, and which machines hear each other. */
export type ExplorationControl = Readonly<{
  random: () => number;
  now: () => number;
  /** Schedules an event for some later moment. A `step` is a message about the core set. */
  schedule: (act: () => void, eventType: 'message' | 'step' | 'sync' | 'pause') => void;
  /** Whether a message is lost in transit. */
  isLost: (from: string, to: string, kind: MessageKind) => boolean;
  /** Whether a machine has received no heartbeat from another for long. */
  isSilent: (observer: string, other: string) => boolean;
}>;

export type Machine = Readonly<{
  name: string;
  isUp: () => boolean;
  /** The core set in which it is active; none while it answers no ballots. */
  activeCoreSet: () => Option.Option<CoreSet>;
  /** Whether it runs and has found no fleet yet, so that it keeps greeting others until it has. */
  isSeeking: () => boolean;
  /** Whether it has accepted a proposal for the core set that follows this one. */
  hasAcceptedStep: (after: number) => boolean;
  /** Whether it is handling a join request, and so may be proposing a change of the core set. */
  isHandlingJoin: () => boolean;
  observeCoreSet: (set: CoreSet) => void;
  leave: () => void;
  /** Ends the process without notice to others; with `wiped` its disk is lost as well. */
  crash: (wiped: boolean) => void;
  start: () => void;
}>;

export type Machines = Readonly<{
  all: () => readonly Machine[];
  /** Adds a machine: a founder if its name is listed, otherwise one with an empty disk. */
  add: (founders: readonly string[]) => Machine;
  /** A register client that is not a core; it learns of newer core sets from replies. */
  client: (name: string, initialSet: CoreSet) => CoreSetRegister;
  /** Sends one message to one core, like a proposer that ends right afterwards. */
  sendOnce: <Kind extends 'prepare' | 'accept'>(seat: NodeRecord, kind: Kind, body: Request<Kind>) => Promise<Option.Option<Reply<Kind>>>;
  newestCoreSet: () => CoreSet;
  /** The number of seats of the newest set whose core is down, still catching up, or in an earlier set. */
  unavailableSeatCount: () => number;
  /** Whether a change of the core set is pending that may still be decided. */
  isSetChangePending: () => boolean;
  seats: (names: readonly string[]) => readonly NodeRecord[];
}>;

type RunningCore = { readonly acceptor: Acceptor; readonly cores: CoreSetManager; pendingJoins: number; fleet: Option.Option<FleetRecord> };
type MachineState = {
  readonly name: string;
  entries: Map<string, unknown>;
  incarnation: number;
  running: RunningCore | undefined;
  readonly pendingCalls: Set<() => void>;
};

/** Clock advance per event, chosen so that a call with its reply, or a few disk syncs, takes some tenths of a second. */
const millisecondsPerEvent = 10;

/** The node record of a core, derived from its name. */
export function createSeat(name: string): NodeRecord {
  return { node: name, role: 'core', area: 'north', address: `${name}:1`, outward: `${name}:2`, draining: false };
}

function isCoreSetMessage(kind: MessageKind, body: unknown): boolean {
  return kind === 'adopt' || kind === 'join' || kind === 'copy' || (body as { key?: string }).key?.startsWith('cores/') === true;
}

function create(control: ExplorationControl): Machines {
  const states = new Map<string, MachineState>();
  const machines: Machine[] = [];
  let lastToken = 0;
  let pendingStepAccepts = 0;

  function now(): Instant {
    return identifiers.instant(control.now() * millisecondsPerEvent);
  }

  /** Creates the runtime of one incarnation of a process. Its timers and waits never complete once that incarnation has ended. */
  function runtimeOf(name: string, alive: () => boolean): Runtime {
    const clock: Clock = {
      now,
      wall: () => identifiers.wallTime(now()),
      sleep: () => new Promise((resolve) => control.schedule(() => (alive() ? resolve() : undefined), 'pause')),
      startTimer: function startTimer(_milliseconds, act) {
        let cancelled = false;
        control.schedule(() => (alive() && !cancelled ? act() : undefined), 'pause');
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
        fraction: control.random,
        token: function token() {
          lastToken += 1;
          return `${name}${lastToken}`;
        },
      },
      log: () => undefined,
    } as unknown as Runtime;
  }

  function diskOf(state: MachineState, alive: () => boolean): Disk {
    return memoryDisk.create(
      () => state.entries,
      (key, value) =>
        new Promise((resolve) =>
          control.schedule(function sync() {
            if (!alive()) return;
            state.entries.set(key, value);
            resolve(Either.right(null));
          }, 'sync'),
        ),
    );
  }

  async function handleRequest(state: MachineState, kind: MessageKind, body: unknown): Promise<unknown> {
    const running = state.running as RunningCore;
    if (kind === 'prepare') return running.acceptor.prepare(body as Request<'prepare'>);
    if (kind === 'accept') return running.acceptor.accept(body as Request<'accept'>);
    if (kind === 'look') return running.acceptor.look(body as Request<'look'>);
    if (kind === 'adopt') return running.cores.adopt(body as Request<'adopt'>);
    if (kind === 'join') {
      running.pendingJoins += 1;
      const reply = await running.cores.join(body as Request<'join'>);
      running.pendingJoins -= 1;
      return reply;
    }
    return handleCopy(running, body as Request<'copy'>);
  }

  async function handleCopy(running: RunningCore, request: Request<'copy'>): Promise<Reply<'copy'>> {
    const isActive = running.acceptor.ready() && Option.isSome(running.fleet) && running.fleet.value.stage === 'formed';
    const set = Option.isSome(running.fleet) ? coreSetOf(running.fleet.value).number : 0;
    const page = await running.acceptor.page(request.after);
    const read = Either.isRight(page) ? page.right : { entries: [], next: '' };
    const ready = isActive && Either.isRight(page);
    return { ready, ...(isActive ? { set } : {}), votes: {}, notes: { floors: {}, reports: [], through: {} }, ...read };
  }

  /** A call is answered, lost, or ended without a reply when its callee ends. */
  function callFrom(from: string, alive: () => boolean): CoreCall {
    function call(address: string, kind: MessageKind, body: unknown): Promise<Option.Option<unknown>> {
      return new Promise(function send(resolve) {
        const eventType = isCoreSetMessage(kind, body) ? 'step' : 'message';
        const stepAccepts = kind === 'accept' && (body as Request<'accept'>).key.startsWith('cores/') ? 1 : 0;
        pendingStepAccepts += stepAccepts;
        function complete(reply: Option.Option<unknown>): void {
          pendingStepAccepts -= stepAccepts;
          control.schedule(() => (alive() ? resolve(reply) : undefined), eventType);
        }
        const state = states.get(address.split(':')[0] as string);
        if (state === undefined || control.isLost(from, state.name, kind)) return complete(Option.none);
        control.schedule(function arrive() {
          if (state.running === undefined) return complete(Option.none);
          function giveUp(): void {
            complete(Option.none);
          }
          state.pendingCalls.add(giveUp);
          void handleRequest(state, kind, body).then(function onReply(reply) {
            if (!state.pendingCalls.delete(giveUp)) return;
            complete(control.isLost(state.name, from, kind) ? Option.none : Option.some(reply));
          });
        }, eventType);
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

  function startCore(state: MachineState): void {
    const { incarnation } = state;
    function alive(): boolean {
      return state.incarnation === incarnation;
    }
    const runtime = runtimeOf(state.name, alive);
    const disk = diskOf(state, alive);
    const call = callFrom(state.name, alive);
    let isInSetTransition = false;
    const running = { pendingJoins: 0, fleet: Option.fromNullable(state.entries.get('fleet') as FleetRecord | undefined) } as RunningCore;
    const cells = acceptor.create({
      disk,
      stored: state.entries,
      onAccepted: () => undefined,
      onDamaged: () => undefined,
      coreSet: createCoreSetView(
        () => running.fleet,
        () => isInSetTransition,
      ),
    });
    const register = registerFrom(
      state.name,
      runtime,
      call,
      () => (Option.isSome(running.fleet) ? coreSetOf(running.fleet.value) : { number: 0, seats: [], epochs: {} }),
      (set) => running.cores.observe(set),
    );
    const manager = coreSetManager.create(runtime, {
      node: {
        settings: {
          node: state.name,
          area: 'north',
          address: `${state.name}:1`,
          outward: `${state.name}:2`,
          seeds: () => [],
          platform: () => '',
        },
        ownRecord: () => createSeat(state.name),
        lastHeartbeatAt: (other) => Option.some(control.isSilent(state.name, other) ? identifiers.instant(0) : now()),
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
      saveRecord: async function saveRecord(next) {
        await disk.put('fleet', next);
        running.fleet = Option.some(next);
        return true;
      },
      open: cells.open,
      changeSet: () => undefined,
      close: cells.close,
      onSetTransition: function onSetTransition(inTransition) {
        isInSetTransition = inTransition;
      },
    });
    Object.assign(running, { acceptor: cells, cores: manager });
    state.running = running;
    if (Option.isSome(running.fleet) && running.fleet.value.stage === 'formed') cells.open();
    manager.start();
  }

  function crash(state: MachineState, wiped: boolean): void {
    state.incarnation += 1;
    state.running = undefined;
    if (wiped) state.entries = new Map();
    for (const giveUp of state.pendingCalls) giveUp();
    state.pendingCalls.clear();
  }

  function machineOf(state: MachineState): Machine {
    function activeCoreSet(): Option.Option<CoreSet> {
      const { running } = state;
      return running !== undefined && running.acceptor.ready() && Option.isSome(running.fleet) && running.fleet.value.stage === 'formed'
        ? Option.some(coreSetOf(running.fleet.value))
        : Option.none;
    }
    return {
      name: state.name,
      isUp: () => state.running !== undefined,
      activeCoreSet,
      isSeeking: () => state.running !== undefined && Option.isNone(state.running.fleet),
      isHandlingJoin: () => state.running !== undefined && state.running.pendingJoins > 0,
      hasAcceptedStep: (after) => state.running !== undefined && Option.isSome(state.running.acceptor.accepted(coreSetKey(after))),
      observeCoreSet: function observeCoreSet(set) {
        if (state.running === undefined) return;
        if (Option.isSome(activeCoreSet())) state.running.cores.observe(set);
        else state.running.cores.onFleetFound('explored', set);
      },
      leave: function leave() {
        void state.running?.cores.handOverMembership(identifiers.instant(Number.POSITIVE_INFINITY));
      },
      crash: (wiped) => crash(state, wiped),
      start: () => startCore(state),
    };
  }

  function add(founders: readonly string[]): Machine {
    const name = `m${machines.length + 1}`;
    const state: MachineState = { name, entries: new Map(), incarnation: 0, running: undefined, pendingCalls: new Set() };
    states.set(name, state);
    if (founders.includes(name))
      state.entries.set('fleet', {
        fleet: 'explored',
        node: name,
        cores: founders.map(createSeat),
        stage: 'formed',
        number: 1,
        epochs: {},
      });
    const machine = machineOf(state);
    machines.push(machine);
    startCore(state);
    return machine;
  }

  function client(name: string, initialSet: CoreSet): CoreSetRegister {
    let set = initialSet;
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

  function isAvailable(seat: NodeRecord, set: CoreSet): boolean {
    const machine = machines.find((candidate) => candidate.name === seat.node);
    const activeSet = machine === undefined ? Option.none : machine.activeCoreSet();
    return Option.isSome(activeSet) && activeSet.value.number === set.number;
  }

  function newestCoreSet(): CoreSet {
    const sets = machines.flatMap((machine) => {
      const set = machine.activeCoreSet();
      return Option.isSome(set) ? [set.value] : [];
    });
    return sets.sort((left, right) => right.number - left.number)[0] ?? { number: 0, seats: [], epochs: {} };
  }

  return {
    all: () => machines,
    add,
    client,
    sendOnce: (seat, kind, body) => callFrom('external-proposer', () => true)(seat.address, kind, body, 0),
    newestCoreSet,
    unavailableSeatCount: function unavailableSeatCount() {
      const currentSet = newestCoreSet();
      return currentSet.number === 0 ? Number.POSITIVE_INFINITY : currentSet.seats.filter((seat) => !isAvailable(seat, currentSet)).length;
    },
    isSetChangePending: function isSetChangePending() {
      const set = newestCoreSet();
      return pendingStepAccepts > 0 || machines.some((machine) => machine.hasAcceptedStep(set.number) || machine.isHandlingJoin());
    },
    seats: (names) => names.map(createSeat),
  };
}

export const exploredMachines = { create } as const;
