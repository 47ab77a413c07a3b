/**
 * Explores interleavings of messages, disk syncs and losses of cores while a register is in use and its cores are lost, replaced or lose
 * their disks. Checks that the results seen by clients form one history, and that the register serves again once the losses end
 * (design 4.8, 10.4).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { message, type CoreSet, type Entry, type MessageKind } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { randomGenerator } from './event-queue.js';
import { exploredMachines, type Machine, type Machines } from './explored-machines.js';

type OperationResult = Readonly<{ key: string; operation: string; startedAt: number; endedAt: number; list: readonly string[] }>;
type PendingEvent = Readonly<{ run: () => void; isDelayed: boolean; isCounted: boolean }>;
type FaultRates = { delayed: number; delayedSyncs: number; lost: number; lostCoreSetMessages: number };

export type ExplorationResult = Readonly<{ violations: readonly string[]; events: number; steps: number; losses: number; results: number }>;

const writerCount = 3;
const operationsPerWriter = 8;
const maxEvents = 6_000;
/** Once no more faults occur the register must serve within so many events. */
const recoveryEvents = 8_000;
/** How often a machine that has found no fleet greets another one: every 200 ms of virtual time. */
const helloEvents = 20;
/** Four seconds of virtual time: the shortest time within which machines are specified to stabilize after a loss. */
const stabilizationEvents = 400;
const deadlineMilliseconds = 3_000;

function listOf(entry: Option.Option<Entry>): readonly string[] {
  return Option.isSome(entry) ? (entry.value.value as readonly string[]) : [];
}

function isPrefix(shorter: readonly string[], longer: readonly string[]): boolean {
  return shorter.every((token, index) => longer[index] === token);
}

/** Checks that all values read or acknowledged form one history, and that an operation sees everything that ended before it began. */
function findViolations(results: readonly OperationResult[]): readonly string[] {
  const violations: string[] = [];
  for (const first of results) {
    for (const second of results) {
      if (first === second || first.key !== second.key) continue;
      const description = `${first.operation} [${first.list.join(' ')}] ${first.startedAt}-${first.endedAt}, ${second.operation} [${second.list.join(' ')}] ${second.startedAt}-${second.endedAt}`;
      if (first.list.length <= second.list.length && !isPrefix(first.list, second.list)) violations.push(`two histories: ${description}`);
      else if (first.endedAt < second.startedAt && first.list.length > second.list.length) violations.push(`forgotten: ${description}`);
    }
  }
  return violations;
}

/** Creates the state of one exploration: machines, pending events, and the results seen by clients. */
function createExploration(seed: number, coreCount: number, keyCount: number, rates: FaultRates) {
  const random = randomGenerator(seed);
  const pending: PendingEvent[] = [];
  const results: OperationResult[] = [];
  const isolatedMachines = new Set<string>();
  const waiters: Array<Readonly<{ until: number; resolve: () => void }>> = [];
  const keys = Array.from({ length: keyCount }, (_, index) => `cell-${index}`);
  /** A machine that learns almost nothing of new core sets, although proposers reach it. */
  const uninformedMachine = random() < 0.5 ? `m${1 + Math.floor(random() * (coreCount + 1))}` : undefined;
  let now = 0;
  let recovering = false;
  let countedEvents = 0;
  /** For each of the latest events: the number of unavailable seats, plus one if a change of the core set was pending. */
  const recentUnavailability: number[] = [];

  const machines: Machines = exploredMachines.create({
    random,
    now: () => now,
    schedule: function schedule(run, eventType) {
      const delayedShare = eventType === 'sync' ? rates.delayedSyncs : rates.delayed;
      pending.push({ run, isDelayed: random() < delayedShare, isCounted: eventType === 'sync' || eventType === 'step' });
    },
    isLost: function isLost(from, to, kind: MessageKind) {
      if (isolatedMachines.has(from) !== isolatedMachines.has(to) || (isolatedMachines.has(from) && from !== to)) return true;
      if (recovering) return false;
      if (kind === 'adopt' && to === uninformedMachine && from !== uninformedMachine && random() < 0.9) return true;
      return random() < (kind === 'adopt' || kind === 'join' || kind === 'copy' ? rates.lostCoreSetMessages : rates.lost);
    },
    isSilent: (observer, other) =>
      isolatedMachines.has(observer) ||
      isolatedMachines.has(other) ||
      !machines.all().some((machine) => machine.name === other && machine.isUp()),
  });
  const founders = Array.from({ length: coreCount }, (_, index) => `m${index + 1}`);
  for (let index = 0; index < coreCount; index += 1) machines.add(founders);
  const initialSet: CoreSet = { number: 1, seats: [...machines.seats(founders)], epochs: {} };

  function takePendingEvent(): PendingEvent {
    for (let draws = 0; ; draws += 1) {
      const index = Math.floor(random() * pending.length);
      const event = pending[index] as PendingEvent;
      if (!recovering && event.isDelayed && draws < 6 && random() < 0.97) continue;
      pending[index] = pending[pending.length - 1] as PendingEvent;
      pending.pop();
      return event;
    }
  }

  /** Lets a random machine learn the core set of another, so that machines that are behind or in no set eventually learn the newest. */
  function gossip(): void {
    const all = machines.all();
    const receiver = all[Math.floor(random() * all.length)] as Machine;
    const sender = all[Math.floor(random() * all.length)] as Machine;
    const senderSet = sender.activeCoreSet();
    if (isolatedMachines.has(receiver.name) !== isolatedMachines.has(sender.name)) return;
    if (Option.isSome(senderSet) && (recovering || receiver.name !== uninformedMachine || random() < 0.1))
      receiver.observeCoreSet(senderSet.value);
  }

  /** A machine that has found no fleet greets a random other one, and learns its core set from the reply. */
  function greet(machine: Machine): void {
    const others = machines.all().filter((other) => other !== machine);
    const other = others[Math.floor(random() * others.length)] as Machine;
    const otherSet = other.activeCoreSet();
    const isCut = isolatedMachines.has(machine.name) || isolatedMachines.has(other.name);
    const isLost = !recovering && random() < rates.lost;
    if (!isCut && !isLost && Option.isSome(otherSet)) machine.observeCoreSet(otherSet.value);
  }

  /** Resolves after so many events. */
  function waitForEvents(eventCount: number): Promise<void> {
    return new Promise((resolve) => waiters.push({ until: now + eventCount, resolve }));
  }

  async function tick(): Promise<void> {
    now += 1;
    for (const waiter of waiters.filter((candidate) => candidate.until <= now)) {
      waiters.splice(waiters.indexOf(waiter), 1);
      waiter.resolve();
    }
    if (random() < (recovering ? 0.05 : 0.01)) gossip();
    if (now % helloEvents === 0)
      machines
        .all()
        .filter((machine) => machine.isSeeking())
        .forEach(greet);
    recentUnavailability.push(machines.unavailableSeatCount() + (machines.isSetChangePending() ? 1 : 0));
    if (recentUnavailability.length > stabilizationEvents) recentUnavailability.shift();
    if (pending.length > 0) {
      const event = takePendingEvent();
      if (event.isCounted) countedEvents += 1;
      event.run();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  async function read(name: string, key: string): Promise<boolean> {
    const startedAt = now;
    const found = await machines.client(name, recovering ? machines.newestCoreSet() : initialSet).read(key, deadlineMilliseconds);
    if (Either.isRight(found)) results.push({ key, operation: `${name} read`, startedAt, endedAt: now, list: listOf(found.right) });
    return Either.isRight(found);
  }

  async function appendToken(register: ReturnType<Machines['client']>, token: string, key: string): Promise<boolean> {
    const startedAt = now;
    const changed = await register.change(
      key,
      (current) => (listOf(current).includes(token) ? Option.none : Option.some([...listOf(current), token])),
      deadlineMilliseconds,
    );
    if (Either.isLeft(changed)) return false;
    const list = listOf(changed.right.entry);
    // Other writers may have appended between two attempts of this change: what its result proves is the history up to its own token.
    results.push({ key, operation: `${token} put`, startedAt, endedAt: now, list: list.slice(0, list.indexOf(token) + 1) });
    return true;
  }

  /**
   * Ends all faults and runs until every key was written and read back and no seat is unavailable. Returns a violation if that does not
   * happen in time. All lost machines must have been restarted or replaced.
   */
  async function checkRecovery(): Promise<string | undefined> {
    recovering = true;
    isolatedMachines.clear();
    let hasServed = false;
    async function writeAndReadAllKeys(): Promise<void> {
      while (!hasServed) {
        const register = machines.client(`last${now}`, machines.newestCoreSet());
        const written = await Promise.all(keys.map((key) => appendToken(register, `last${now}${key}`, key)));
        const readBack = await Promise.all(keys.map((key) => read(`end${now}`, key)));
        hasServed = written.every(Boolean) && readBack.every(Boolean);
      }
    }
    void writeAndReadAllKeys();
    const until = now + recoveryEvents;
    while (now < until && !(hasServed && machines.unavailableSeatCount() === 0)) await tick();
    if (!hasServed) return `the register no longer serves: ${describeState()}`;
    return machines.unavailableSeatCount() === 0 ? undefined : `a seat stays unavailable: ${describeState()}`;
  }

  function describeState(): string {
    const set = machines.newestCoreSet();
    const states = machines.all().map((machine) => {
      const activeSet = machine.activeCoreSet();
      return `${machine.name} ${!machine.isUp() ? 'down' : Option.isSome(activeSet) ? `in set ${activeSet.value.number}` : 'catching up'}`;
    });
    return `set ${set.number} of ${set.seats.map((seat) => seat.node).join(' ')}; ${states.join(', ')}`;
  }

  return {
    random,
    machines,
    initialSet,
    keys,
    isolatedMachines,
    results,
    tick,
    waitForEvents,
    read,
    appendToken,
    checkRecovery,
    now: () => now,
    /** The maximum of `recentUnavailability`, over the time that machines may take to stabilize, and of the seats unavailable now. */
    maxRecentUnavailability: () => Math.max(machines.unavailableSeatCount(), ...recentUnavailability),
    /** How many disk syncs and messages about the core set there have been. */
    moments: () => countedEvents,
  };
}

type Exploration = ReturnType<typeof createExploration>;

function isReachable(machine: Machine, exploration: Exploration): boolean {
  return machine.isUp() && !exploration.isolatedMachines.has(machine.name);
}

/**
 * Whether another machine may be lost: never more at once than the set tolerates, where a loss counts until all seats have been up to
 * date for the time that machines may take to stabilize. A change of the set may stay pending that long after its vacancy has ended.
 */
function mayLoseAnother(exploration: Exploration, toleratedLosses: number, leavingCount: number): boolean {
  return exploration.maxRecentUnavailability() + leavingCount + exploration.isolatedMachines.size < toleratedLosses;
}

async function runWriter(exploration: Exploration, name: string, sparse: boolean): Promise<void> {
  const { random, machines, keys } = exploration;
  const register = machines.client(name, exploration.initialSet);
  const maxIdleEvents = sparse ? 300 : 10 + random() * 120;
  const readShare = random() * 0.6;
  // Ballots far above those of the other writers: what this writer leaves on a minority may outlast a core set.
  const extraBallots = random() < 0.5 ? Math.floor(random() * 8) : 0;
  for (let attempt = 0; attempt < extraBallots; attempt += 1)
    await register.change(`own-${name}`, () => Option.some([String(attempt)]), deadlineMilliseconds);
  for (let attempt = 0; attempt < operationsPerWriter; attempt += 1) {
    await exploration.waitForEvents(Math.floor(random() * maxIdleEvents));
    const key = keys[Math.floor(random() * keys.length)] as string;
    if (random() < readShare) await exploration.read(`${name}${attempt}`, key);
    else await exploration.appendToken(register, `${name}${attempt}`, key);
  }
}

/** Leaves an unfinished round in the first set: a ballot far above all others, promised by a majority and accepted by one core. */
async function leaveUnfinishedRound(exploration: Exploration, coreCount: number): Promise<void> {
  const { machines, keys, random } = exploration;
  const shuffledSeats = machines.seats(exploration.initialSet.seats.map((seat) => seat.node).sort(() => random() - 0.5));
  const ballot = { counter: 20, node: 'broken' };
  const key = keys[0] as string;
  const promises = await Promise.all(
    shuffledSeats.slice(0, quorum.majority(coreCount)).map((seat) => machines.sendOnce(seat, 'prepare', { key, ballot, set: 1 })),
  );
  if (!promises.every((reply) => Option.isSome(reply) && reply.value.agreed)) return;
  // A proposer proposes the accepted entry of the highest ballot that a promise brought, if there is one.
  const accepted = promises.flatMap((reply) => (Option.isSome(reply) && reply.value.accepted !== null ? [reply.value.accepted] : []));
  const [latest] = accepted.sort((left, right) => message.compareBallots(right.ballot, left.ballot));
  const { version, value } = latest ?? { version: 1, value: ['broken'] };
  await machines.sendOnce(shuffledSeats[0] as (typeof shuffledSeats)[number], 'accept', {
    key,
    entry: { ballot, version, value },
    set: 1,
  });
}

/** Loses a core in a random way: restart, lost disk, network isolation, permanent loss or planned departure; the last two add a successor. */
function loseMachine(exploration: Exploration, victim: Machine, leavingMachines: Map<Machine, number>): void {
  const { random, machines } = exploration;
  const lossKind = Math.floor(random() * 5);
  if (lossKind === 0) victim.crash(false);
  else if (lossKind === 1) victim.crash(true);
  else if (lossKind === 2) {
    exploration.isolatedMachines.add(victim.name);
  } else {
    machines.add([]);
    if (lossKind === 3) {
      victim.crash(true);
      lostForGood.add(victim);
    } else {
      victim.leave();
      leavingMachines.set(victim, exploration.now() + Math.floor(random() * 300));
    }
  }
}

/** Machines that are lost permanently and never restarted. */
const lostForGood = new WeakSet<Machine>();

async function run(seed: number): Promise<ExplorationResult> {
  const draw = randomGenerator(seed ^ 0x5bd1e995);
  const coreCount = draw() < 0.7 ? 3 : draw() < 0.6 ? 5 : 4;
  const sparse = draw() < 0.6;
  const rates: FaultRates = {
    delayed: sparse ? draw() * 0.1 : draw() * 0.5,
    delayedSyncs: draw() * 0.6,
    lost: sparse ? draw() * 0.4 : draw() * 0.2,
    lostCoreSetMessages: draw() * 0.06,
  };
  const exploration = createExploration(seed, coreCount, [1, 2, 8][Math.floor(draw() * 3)] as number, rates);
  const { machines, random } = exploration;
  const toleratedLosses = Math.floor((coreCount - 1) / 2);
  const leavingMachines = new Map<Machine, number>();
  const lossRate = 0.002 + random() * 0.02;
  let losses = 0;
  let activeWriters = writerCount;
  if (random() < 0.5) machines.add([]);
  if (sparse) await Promise.race([leaveUnfinishedRound(exploration, coreCount), runEvents(exploration, 60)]);
  for (let index = 0; index < writerCount; index += 1) void runWriter(exploration, `x${index}`, sparse).then(() => (activeWriters -= 1));

  /** Randomly restarts or reconnects lost machines, except those lost for good, and ends departing machines whose time has come. */
  function recoverMachines(): void {
    for (const machine of machines.all()) if (!machine.isUp() && !lostForGood.has(machine) && random() < 0.01) machine.start();
    for (const name of exploration.isolatedMachines) if (random() < 0.005) exploration.isolatedMachines.delete(name);
    for (const [machine, endAt] of leavingMachines) {
      if (exploration.now() < endAt) continue;
      machine.crash(true);
      lostForGood.add(machine);
      leavingMachines.delete(machine);
    }
  }

  while (activeWriters > 0 && exploration.now() < maxEvents) {
    recoverMachines();
    if (random() < lossRate && mayLoseAnother(exploration, toleratedLosses, leavingMachines.size)) {
      const memberNames = machines.newestCoreSet().seats.map((seat) => seat.node);
      const victims = machines
        .all()
        .filter((machine) => memberNames.includes(machine.name) && isReachable(machine, exploration) && !leavingMachines.has(machine));
      const victim = victims[Math.floor(random() * victims.length)];
      if (victim !== undefined) {
        loseMachine(exploration, victim, leavingMachines);
        losses += 1;
      }
    }
    // Any process may restart unnoticed, also one that is not in the set yet because it is still catching up.
    if (random() < 0.001) {
      const joiningMachine = machines
        .all()
        .find((machine) => machine.isUp() && Option.isNone(machine.activeCoreSet()) && !leavingMachines.has(machine));
      if (joiningMachine !== undefined) joiningMachine.crash(false);
    }
    await exploration.tick();
  }
  for (const machine of leavingMachines.keys()) {
    machine.crash(true);
    lostForGood.add(machine);
  }
  for (const machine of machines.all()) if (!machine.isUp() && !lostForGood.has(machine)) machine.start();
  const recoveryViolation = await exploration.checkRecovery();
  return {
    violations: [...findViolations(exploration.results), ...(recoveryViolation === undefined ? [] : [recoveryViolation])],
    events: exploration.now(),
    steps: machines.newestCoreSet().number - 1,
    losses,
    results: exploration.results.length,
  };
}

async function runEvents(exploration: Exploration, eventCount: number): Promise<void> {
  for (const until = exploration.now() + eventCount; exploration.now() < until;) await exploration.tick();
}

export const explore = { run, findViolations, createExploration, runWriter, lostForGood } as const;
export type { Exploration };
