/** Fixed orders of events that random runs would hardly ever produce; each exercises a guard of design 4.8 (design 10.4). */
import { createSeat } from './explored-machines.js';
import { memoryDisk } from './memory-disk.js';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Disk, type Runtime } from '@stallstall/kernel';
import type { Ballot, Entry } from '@stallstall/message';
import { acceptor, catchUp, proposer, type Acceptor, type CoreSetRegister } from '@stallstall/register';

type Core = { set: number; readonly cells: Acceptor };

/** The cores of two successive core sets: in set 2, `f` replaces `a`. */
const firstSetCores = 'abcde';
const secondSetCores = 'fbcde';
const key = 'cell';

let token = 0;

function createDisk(): Disk {
  const entries = new Map<string, unknown>();
  return memoryDisk.create(
    () => entries,
    function put(key, value) {
      entries.set(key, value);
      return Promise.resolve(Either.right(null));
    },
  );
}

function createRuntime(): Runtime {
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

type TestCores = Readonly<{
  core: (name: string) => Core;
  moveToSet: (names: string, set: number) => void;
  /** A register that can reach only these cores. */
  reaching: (names: string, set: number) => CoreSetRegister;
  promise: (names: string, ballot: Ballot) => Promise<void>;
  accept: (names: string, entry: Entry) => Promise<void>;
  /** Copies from the sources and opens the core; false if the sources were too few. */
  bringUpToDate: (name: string, sources: string) => Promise<boolean>;
}>;

function createCores(): TestCores {
  const cores = new Map<string, Core>();

  function core(name: string): Core {
    return cores.get(name) as Core;
  }

  function reaching(names: string, set: number): CoreSetRegister {
    const namesInSet = set === 1 ? firstSetCores : secondSetCores;
    return proposer.create(createRuntime(), {
      name: 'writer',
      replicas: () =>
        [...namesInSet].map((name) => ({
          core: name,
          send: async (kind, body) =>
            names.includes(name) ? Option.some((await core(name).cells[kind](body as never)) as never) : Option.none,
        })),
      replicaCount: () => namesInSet.length,
      coreSets: { number: () => set, observe: () => undefined },
    });
  }

  for (const name of `${firstSetCores}f`) {
    const state = { set: 1 } as Core;
    const cells = acceptor.create({
      disk: createDisk(),
      stored: new Map(),
      onAccepted: () => undefined,
      onDamaged: () => undefined,
      coreSet: { number: () => state.set, newerThan: () => undefined },
    });
    cores.set(name, Object.assign(state, { cells }));
    if (name !== 'f') cells.open();
  }

  return {
    core,
    reaching,
    moveToSet: function moveToSet(names, set) {
      for (const name of names) core(name).set = set;
    },
    promise: async function promise(names, ballot) {
      for (const name of names) await core(name).cells.prepare({ key, ballot, set: 1 });
    },
    accept: async function accept(names, entry) {
      for (const name of names) await core(name).cells.accept({ key, entry, set: 1 });
    },
    /** Copies from the sources and opens the core; false if the sources were too few. */
    bringUpToDate: async function bringUpToDate(name, sources) {
      const hasEnoughSources = await catchUp.copyFromEnough(
        [...sources].map(createSeat),
        catchUp.requiredSources(secondSetCores.length),
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
      if (!hasEnoughSources || !(await catchUp.completeUnresolved(core(name).cells, reaching('bcde', 2).forCoreSet(2)))) return false;
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
 * Two of five cores accept an entry. A proposer with a higher ballot has not seen it; its promises come from two other cores and the core
 * that is being replaced. The new core copies the entry. A core that still uses the earlier set then accepts the higher ballot.
 */
async function copiedButOvertaken(): Promise<string | undefined> {
  const cores = createCores();
  const low = { counter: 5, node: 'low' };
  const high = { counter: 20, node: 'high' };
  await cores.promise('abe', low);
  await cores.promise('acd', high);
  await cores.accept('be', { ballot: low, version: 1, value: 'low' });
  cores.moveToSet('bcef', 2);
  if (!(await cores.bringUpToDate('f', 'bce'))) return 'the new core never caught up';
  await cores.accept('d', { ballot: high, version: 1, value: 'high' });
  cores.moveToSet('d', 2);
  const before = await reads(cores.reaching('bef', 2));
  const after = await reads(cores.reaching('cdf', 2));
  return before === after ? undefined : `read ${before}, then ${after}`;
}

/** A new core that copies from too few sources can miss an entry chosen by two remaining cores and the one that was replaced. */
async function copiedFromTooFew(): Promise<string | undefined> {
  const cores = createCores();
  const ballot = { counter: 5, node: 'chosen' };
  await cores.promise('abc', ballot);
  await cores.accept('abc', { ballot, version: 1, value: 'chosen' });
  cores.moveToSet('bcdef', 2);
  if (await cores.bringUpToDate('f', 'de')) return 'two sources were enough, although neither had the chosen entry';
  if (!(await cores.bringUpToDate('f', 'bde'))) return 'three sources were not enough';
  const found = await reads(cores.reaching('def', 2));
  return found.includes('chosen') ? undefined : `the chosen entry was read back as ${found}`;
}

/**
 * The core being replaced and one other accepted an entry, and the accept request to a third, which promised it, is delayed. Whatever the
 * third core answers later, a majority of the new set must not contradict a majority of the earlier set.
 */
async function lateAccept(coresInNewSet: string): Promise<string | undefined> {
  const cores = createCores();
  const entry: Entry = { ballot: { counter: 5, node: 'late' }, version: 1, value: 'late' };
  await cores.promise('abc', entry.ballot);
  await cores.accept('ab', entry);
  cores.moveToSet(coresInNewSet, 2);
  if (!(await cores.bringUpToDate('f', 'cde'))) return coresInNewSet.includes('c') ? 'the new core never caught up' : undefined;
  const late = await cores.core('c').cells.accept({ key, entry, set: 1 });
  const found = await reads(cores.reaching('def', 2));
  return late.agreed && !found.includes('late') ? `chosen by the replaced core and two others, but read back as ${found}` : undefined;
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
