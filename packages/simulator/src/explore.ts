/**
 * Orders of all that happens to a register while its cores are lost, replaced and lose their disks: drawn from a seed, or one loss at
 * each moment in turn. Judged by what clients were told, and by whether the register serves once all is calm (design 4.8, 10.4).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreSet, Entry, MessageKind } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { randomGenerator } from './event-queue.js';
import { exploredMachines, type Machine, type Machines } from './explored-machines.js';

type Result = Readonly<{ key: string; what: string; begun: number; ended: number; list: readonly string[] }>;
type Happening = Readonly<{ run: () => void; late: boolean; counts: boolean }>;
type Shares = { late: number; lateSync: number; lost: number; lostSteps: number };

export type Explored = Readonly<{ violations: readonly string[]; happenings: number; steps: number; losses: number; results: number }>;

const writers = 3;
const attempts = 8;
const mostHappenings = 6_000;
/** Once all is calm the register must serve within so many happenings. */
const calmHappenings = 8_000;
/** Four seconds: the shortest time in which machines are said to settle. */
const settleHappenings = 400;
const deadlineMilliseconds = 3_000;

function listOf(entry: Option.Option<Entry>): readonly string[] {
  return Option.isSome(entry) ? (entry.value.value as readonly string[]) : [];
}

function isPrefix(shorter: readonly string[], longer: readonly string[]): boolean {
  return shorter.every((token, index) => longer[index] === token);
}

/** What was read or acknowledged is one history, and whoever begins later sees all of it. */
function judge(results: readonly Result[]): readonly string[] {
  const violations: string[] = [];
  for (const one of results) {
    for (const other of results) {
      if (one === other || one.key !== other.key) continue;
      const reported = `${one.what} [${one.list.join(' ')}] ${one.begun}-${one.ended}, ${other.what} [${other.list.join(' ')}] ${other.begun}-${other.ended}`;
      if (one.list.length <= other.list.length && !isPrefix(one.list, other.list)) violations.push(`two histories: ${reported}`);
      else if (one.ended < other.begun && one.list.length > other.list.length) violations.push(`forgotten: ${reported}`);
    }
  }
  return violations;
}

/** One exploration: machines, what is under way between them, and what clients were told. */
function tableOf(seed: number, size: number, keyCount: number, shares: Shares) {
  const random = randomGenerator(seed);
  const pending: Happening[] = [];
  const results: Result[] = [];
  const cut = new Set<string>();
  const idlers: Array<Readonly<{ until: number; resolve: () => void }>> = [];
  const keys = Array.from({ length: keyCount }, (_, index) => `cell-${index}`);
  /** One that hears next to nothing of new sets, though proposers reach it. */
  const shunned = random() < 0.5 ? `m${1 + Math.floor(random() * (size + 1))}` : undefined;
  let now = 0;
  let calm = false;
  let moments = 0;
  /** How many seats were short, and when a step was under way, at each of the latest happenings. */
  const lately: number[] = [];

  const machines: Machines = exploredMachines.create({
    random,
    now: () => now,
    later: function later(run, what) {
      const share = what === 'sync' ? shares.lateSync : shares.late;
      pending.push({ run, late: random() < share, counts: what === 'sync' || what === 'step' });
    },
    loses: function loses(from, to, kind: MessageKind) {
      if (cut.has(from) !== cut.has(to) || (cut.has(from) && from !== to)) return true;
      if (calm) return false;
      if (kind === 'adopt' && to === shunned && from !== shunned && random() < 0.9) return true;
      return random() < (kind === 'adopt' || kind === 'join' || kind === 'copy' ? shares.lostSteps : shares.lost);
    },
    isSilent: (at, other) => cut.has(at) || cut.has(other) || !machines.all().some((machine) => machine.name === other && machine.isUp()),
  });
  const founders = Array.from({ length: size }, (_, index) => `m${index + 1}`);
  for (let index = 0; index < size; index += 1) machines.add(founders);
  const first: CoreSet = { number: 1, seats: [...machines.seats(founders)], epochs: {} };

  function pick(): Happening {
    for (let looks = 0; ; looks += 1) {
      const index = Math.floor(random() * pending.length);
      const found = pending[index] as Happening;
      if (!calm && found.late && looks < 6 && random() < 0.97) continue;
      pending[index] = pending[pending.length - 1] as Happening;
      pending.pop();
      return found;
    }
  }

  /** Machines hear of each other now and then: who is behind, or of no set, hears of the newest in the end. */
  function gossip(): void {
    const all = machines.all();
    const one = all[Math.floor(random() * all.length)] as Machine;
    const other = all[Math.floor(random() * all.length)] as Machine;
    const set = other.level();
    if (cut.has(one.name) !== cut.has(other.name)) return;
    if (Option.isSome(set) && (calm || one.name !== shunned || random() < 0.1)) one.hears(set.value);
  }

  /** Settles once so many happenings have gone by. */
  function idle(happenings: number): Promise<void> {
    return new Promise((resolve) => idlers.push({ until: now + happenings, resolve }));
  }

  async function tick(): Promise<void> {
    now += 1;
    for (const idler of idlers.filter((one) => one.until <= now)) {
      idlers.splice(idlers.indexOf(idler), 1);
      idler.resolve();
    }
    if (random() < (calm ? 0.05 : 0.01)) gossip();
    lately.push(machines.short() + (machines.isStepping() ? 1 : 0));
    if (lately.length > settleHappenings) lately.shift();
    if (pending.length > 0) {
      const happening = pick();
      if (happening.counts) moments += 1;
      happening.run();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  async function read(name: string, key: string): Promise<boolean> {
    const begun = now;
    const found = await machines.client(name, calm ? machines.newest() : first).read(key, deadlineMilliseconds);
    if (Either.isRight(found)) results.push({ key, what: `${name} read`, begun, ended: now, list: listOf(found.right) });
    return Either.isRight(found);
  }

  async function put(register: ReturnType<Machines['client']>, token: string, key: string): Promise<boolean> {
    const begun = now;
    const changed = await register.change(
      key,
      (current) => (listOf(current).includes(token) ? Option.none : Option.some([...listOf(current), token])),
      deadlineMilliseconds,
    );
    if (Either.isLeft(changed)) return false;
    const list = listOf(changed.right.entry);
    // Others may have added theirs between two of its shots: what it knows is the history up to its own.
    results.push({ key, what: `${token} put`, begun, ended: now, list: list.slice(0, list.indexOf(token) + 1) });
    return true;
  }

  /** All that was lost is back or replaced, messages arrive, and every key is written and read back: else the register serves no more. */
  async function serves(): Promise<string | undefined> {
    calm = true;
    cut.clear();
    let served = false;
    async function proof(): Promise<void> {
      while (!served) {
        const register = machines.client(`last${now}`, machines.newest());
        const written = await Promise.all(keys.map((key) => put(register, `last${now}${key}`, key)));
        const readBack = await Promise.all(keys.map((key) => read(`end${now}`, key)));
        served = written.every(Boolean) && readBack.every(Boolean);
      }
    }
    void proof();
    const until = now + calmHappenings;
    while (now < until && !(served && machines.short() === 0)) await tick();
    if (!served) return `serves no more: ${reported()}`;
    return machines.short() === 0 ? undefined : `a seat stays short: ${reported()}`;
  }

  function reported(): string {
    const set = machines.newest();
    const states = machines.all().map((machine) => {
      const level = machine.level();
      return `${machine.name} ${!machine.isUp() ? 'down' : Option.isSome(level) ? `at ${level.value.number}` : 'learns'}`;
    });
    return `set ${set.number} of ${set.seats.map((seat) => seat.node).join(' ')}; ${states.join(', ')}`;
  }

  return {
    random,
    machines,
    first,
    keys,
    cut,
    results,
    tick,
    idle,
    read,
    put,
    serves,
    now: () => now,
    /** The most seats that were short at once within the time in which machines settle. */
    shortLately: () => Math.max(machines.short(), ...lately),
    /** How many syncs and messages of the set of cores there were. */
    moments: () => moments,
  };
}

type Table = ReturnType<typeof tableOf>;

function runs(machine: Machine, table: Table): boolean {
  return machine.isUp() && !table.cut.has(machine.name);
}

/**
 * What may be lost next: never more at once than the seats tolerate, where a loss counts until all seats have been level for the time
 * in which machines settle. A step whose vacancy is over may be under way that long.
 */
function mayLose(table: Table, tolerance: number, leaving: number): boolean {
  return table.shortLately() + leaving + table.cut.size < tolerance;
}

async function writer(table: Table, name: string, sparse: boolean): Promise<void> {
  const { random, machines, keys } = table;
  const register = machines.client(name, table.first);
  const idleMost = sparse ? 300 : 10 + random() * 120;
  const reads = random() * 0.6;
  // Ballots far beyond those of the others: what this one leaves on a minority may outlast a set.
  const ahead = random() < 0.5 ? Math.floor(random() * 8) : 0;
  for (let attempt = 0; attempt < ahead; attempt += 1)
    await register.change(`own-${name}`, () => Option.some([String(attempt)]), deadlineMilliseconds);
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    await table.idle(Math.floor(random() * idleMost));
    const key = keys[Math.floor(random() * keys.length)] as string;
    if (random() < reads) await table.read(`${name}${attempt}`, key);
    else await table.put(register, `${name}${attempt}`, key);
  }
}

/** Some runs begin with a round that broke off under the first set: promised by a majority far ahead of all others, accepted by one. */
async function brokenOff(table: Table, size: number): Promise<void> {
  const { machines, keys, random } = table;
  const order = machines.seats(table.first.seats.map((seat) => seat.node).sort(() => random() - 0.5));
  const ballot = { counter: 20, node: 'broken' };
  const key = keys[0] as string;
  const promises = await Promise.all(
    order.slice(0, quorum.majority(size)).map((seat) => machines.tell(seat, 'prepare', { key, ballot, set: 1 })),
  );
  if (!promises.every((one) => Option.isSome(one) && one.value.agreed)) return;
  await machines.tell(order[0] as (typeof order)[number], 'accept', { key, entry: { ballot, version: 1, value: ['broken'] }, set: 1 });
}

/** One of the ways in which a core is lost, and comes back or is replaced. */
function lose(table: Table, victim: Machine, leavers: Map<Machine, number>): void {
  const { random, machines } = table;
  const way = Math.floor(random() * 5);
  if (way === 0) victim.crash(false);
  else if (way === 1) victim.crash(true);
  else if (way === 2) {
    table.cut.add(victim.name);
  } else {
    machines.add([]);
    if (way === 3) {
      victim.crash(true);
      gone.add(victim);
    } else {
      victim.leave();
      leavers.set(victim, table.now() + Math.floor(random() * 300));
    }
  }
}

/** Machines that never come back. */
const gone = new WeakSet<Machine>();

async function run(seed: number): Promise<Explored> {
  const draw = randomGenerator(seed ^ 0x5bd1e995);
  const size = draw() < 0.7 ? 3 : draw() < 0.6 ? 5 : 4;
  const sparse = draw() < 0.6;
  const shares: Shares = {
    late: sparse ? draw() * 0.1 : draw() * 0.5,
    lateSync: draw() * 0.6,
    lost: sparse ? draw() * 0.4 : draw() * 0.2,
    lostSteps: draw() * 0.06,
  };
  const table = tableOf(seed, size, [1, 2, 8][Math.floor(draw() * 3)] as number, shares);
  const { machines, random } = table;
  const tolerance = Math.floor((size - 1) / 2);
  const leavers = new Map<Machine, number>();
  const lossShare = 0.002 + random() * 0.02;
  let losses = 0;
  let working = writers;
  if (random() < 0.5) machines.add([]);
  if (sparse) await Promise.race([brokenOff(table, size), advance(table, 60)]);
  for (let index = 0; index < writers; index += 1) void writer(table, `x${index}`, sparse).then(() => (working -= 1));

  /** A machine that was lost comes back, unless it was lost for good. */
  function startAgain(): void {
    for (const machine of machines.all()) if (!machine.isUp() && !gone.has(machine) && random() < 0.01) machine.start();
    for (const name of table.cut) if (random() < 0.005) table.cut.delete(name);
    for (const [machine, at] of leavers) {
      if (table.now() < at) continue;
      machine.crash(true);
      gone.add(machine);
      leavers.delete(machine);
    }
  }

  while (working > 0 && table.now() < mostHappenings) {
    startAgain();
    if (random() < lossShare && mayLose(table, tolerance, leavers.size)) {
      const listed = machines.newest().seats.map((seat) => seat.node);
      const victims = machines.all().filter((machine) => listed.includes(machine.name) && runs(machine, table) && !leavers.has(machine));
      const victim = victims[Math.floor(random() * victims.length)];
      if (victim !== undefined) {
        lose(table, victim, leavers);
        losses += 1;
      }
    }
    // Nobody's process ever lasts: one may end and begin again without being missed by anybody, before it is level as well.
    if (random() < 0.001) {
      const learner = machines.all().find((machine) => machine.isUp() && Option.isNone(machine.level()) && !leavers.has(machine));
      if (learner !== undefined) learner.crash(false);
    }
    await table.tick();
  }
  for (const machine of leavers.keys()) {
    machine.crash(true);
    gone.add(machine);
  }
  for (const machine of machines.all()) if (!machine.isUp() && !gone.has(machine)) machine.start();
  const unserved = await table.serves();
  return {
    violations: [...judge(table.results), ...(unserved === undefined ? [] : [unserved])],
    happenings: table.now(),
    steps: machines.newest().number - 1,
    losses,
    results: table.results.length,
  };
}

async function advance(table: Table, happenings: number): Promise<void> {
  for (const until = table.now() + happenings; table.now() < until;) await table.tick();
}

export const explore = { run, judge, tableOf, writer, gone } as const;
export type { Table as ExploredTable };
