/** Orders of events too rare to be drawn, written down: each shows a guard of design 4.8 at work (design 10.4). */
import { createSeat } from './explored-machines.js';
import { memoryDisk } from './memory-disk.js';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Disk, type Runtime } from '@stallstall/kernel';
import type { Ballot, Entry } from '@stallstall/message';
import { acceptor, catchUp, proposer, type Acceptor, type CoreSetRegister } from '@stallstall/register';

type Core = { set: number; readonly cells: Acceptor };

/** Five seats, and `f` who takes over the seat of `a` in set 2. */
const firstSeats = 'abcde';
const secondSeats = 'fbcde';
const key = 'cell';

let token = 0;

function diskOf(): Disk {
  const entries = new Map<string, unknown>();
  return memoryDisk.create(
    () => entries,
    function put(key, value) {
      entries.set(key, value);
      return Promise.resolve(Either.right(null));
    },
  );
}

function runtimeOf(): Runtime {
  let now = 0;
  return {
    clock: {
      now: () => identifiers.instant(now),
      startTimer: function startTimer(_milliseconds: number, act: () => void) {
        setImmediate(act);
        return { cancel: () => undefined };
      },
      sleep: function sleep(milliseconds: number) {
        now += milliseconds;
        return new Promise((resolve) => setImmediate(resolve));
      },
    },
    randomness: {
      fraction: () => 0.5,
      token: function next() {
        token += 1;
        return String(token);
      },
    },
    log: () => undefined,
  } as unknown as Runtime;
}

type Table = Readonly<{
  core: (name: string) => Core;
  stepTo: (names: string, set: number) => void;
  /** A register that reaches only these cores. */
  reaching: (names: string, set: number) => CoreSetRegister;
  promise: (names: string, ballot: Ballot) => Promise<void>;
  accept: (names: string, entry: Entry) => Promise<void>;
  level: (name: string, sources: string) => Promise<boolean>;
}>;

function table(): Table {
  const cores = new Map<string, Core>();

  function core(name: string): Core {
    return cores.get(name) as Core;
  }

  function reaching(names: string, set: number): CoreSetRegister {
    const seats = set === 1 ? firstSeats : secondSeats;
    return proposer.create(runtimeOf(), {
      name: 'writer',
      replicas: () =>
        [...seats].map((name) => ({
          core: name,
          send: async (kind, body) =>
            names.includes(name) ? Option.some((await core(name).cells[kind](body as never)) as never) : Option.none,
        })),
      replicaCount: () => seats.length,
      coreSets: { number: () => set, observe: () => undefined },
    });
  }

  for (const name of `${firstSeats}f`) {
    const own = { set: 1 } as Core;
    const cells = acceptor.create({
      disk: diskOf(),
      stored: new Map(),
      onAccepted: () => undefined,
      onDamaged: () => undefined,
      coreSet: { number: () => own.set, newerThan: () => undefined },
    });
    cores.set(name, Object.assign(own, { cells }));
    if (name !== 'f') cells.open();
  }

  return {
    core,
    reaching,
    stepTo: function stepTo(names, set) {
      for (const name of names) core(name).set = set;
    },
    promise: async function promise(names, ballot) {
      for (const name of names) await core(name).cells.prepare({ key, ballot, set: 1 });
    },
    accept: async function accept(names, entry) {
      for (const name of names) await core(name).cells.accept({ key, entry, set: 1 });
    },
    level: async function level(name, sources) {
      const enough = await catchUp.copyFromEnough(
        [...sources].map(createSeat),
        catchUp.requiredSources(secondSeats.length),
        async function copy(source) {
          if (!catchUp.isEligibleSource(2, core(source.node).set)) return false;
          const page = await core(source.node).cells.page('');
          if (Either.isLeft(page)) return false;
          for (const { key: copied, state } of page.right.entries)
            if (acceptor.isCellState(state)) await core(name).cells.merge(copied, state);
          return true;
        },
        () => false,
      );
      if (!enough || !(await catchUp.completeUnresolved(core(name).cells, reaching('bcde', 2).forCoreSet(2)))) return false;
      core(name).cells.open();
      return true;
    },
  };
}

async function reads(register: CoreSetRegister): Promise<string> {
  const read = await register.read(key);
  return Either.isRight(read) ? JSON.stringify(Option.map((entry: Entry) => entry.value)(read.right)) : 'unread';
}

/**
 * An entry that two of five accepted, and a higher ballot that never saw it, promised by the occupant whose seat is given away and
 * by two others. Its newcomer copies the entry; one that lags behind then accepts the higher ballot under the set before.
 */
async function copiedButOvertaken(): Promise<string | undefined> {
  const cores = table();
  const low = { counter: 5, node: 'low' };
  const high = { counter: 20, node: 'high' };
  await cores.promise('abe', low);
  await cores.promise('acd', high);
  await cores.accept('be', { ballot: low, version: 1, value: 'low' });
  cores.stepTo('bcef', 2);
  if (!(await cores.level('f', 'bce'))) return 'the newcomer never became level';
  await cores.accept('d', { ballot: high, version: 1, value: 'high' });
  cores.stepTo('d', 2);
  const before = await reads(cores.reaching('bef', 2));
  const after = await reads(cores.reaching('cdf', 2));
  return before === after ? undefined : `read ${before}, then ${after}`;
}

/** A newcomer with fewer sources than a majority's other half could have missed what two of those that stay and the leaver chose. */
async function copiedFromTooFew(): Promise<string | undefined> {
  const cores = table();
  const ballot = { counter: 5, node: 'chosen' };
  await cores.promise('abc', ballot);
  await cores.accept('abc', { ballot, version: 1, value: 'chosen' });
  cores.stepTo('bcdef', 2);
  if (await cores.level('f', 'de')) return 'two copies were enough, and neither source held what was chosen';
  if (!(await cores.level('f', 'bde'))) return 'three copies were not enough';
  const found = await reads(cores.reaching('def', 2));
  return found.includes('chosen') ? undefined : `chosen, read back ${found}`;
}

/**
 * An entry that the leaver and one other accepted, and a third core that promised it: its accept is on the way. Whatever the third
 * does with it later, those who no longer count the leaver must agree with who does.
 */
async function lateAccept(stepped: string): Promise<string | undefined> {
  const cores = table();
  const entry: Entry = { ballot: { counter: 5, node: 'late' }, version: 1, value: 'late' };
  await cores.promise('abc', entry.ballot);
  await cores.accept('ab', entry);
  cores.stepTo(stepped, 2);
  if (!(await cores.level('f', 'cde'))) return stepped.includes('c') ? 'the newcomer never became level' : undefined;
  const late = await cores.core('c').cells.accept({ key, entry, set: 1 });
  const found = await reads(cores.reaching('def', 2));
  return late.agreed && !found.includes('late') ? `chosen by the leaver and two others, read back ${found}` : undefined;
}

async function lateAcceptAtASource(): Promise<string | undefined> {
  return lateAccept('bcdef');
}

async function lateAcceptAtOneThatLags(): Promise<string | undefined> {
  return lateAccept('bdef');
}

export const schedules: Readonly<Record<string, () => Promise<string | undefined>>> = {
  copiedButOvertaken,
  copiedFromTooFew,
  lateAcceptAtASource,
  lateAcceptAtOneThatLags,
};
