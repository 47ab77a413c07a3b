/** A core without a seat: it copies the fleet's cores, asks for a vacant seat, and answers nothing until it has caught up (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { CoreSet, Seat } from '@stallstall/message';
import { catchUp, isSameNodeAndDisk, proposer, type Acceptor, type CoreSetRegister, type RegisterReplica } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import type { StateTransfer } from './state-transfer.js';

export type LearnerParts = Readonly<{
  callCore: CoreCall;
  cells: Acceptor;
  transfer: StateTransfer;
  /** This node with the disk that it has now. */
  ownSeat: () => Seat;
  /** Where the fleet may be found besides the cores that are known. */
  seeds: () => readonly string[];
  /** Whether this core is still to be given a seat. */
  shouldRun: () => boolean;
  /** Begins to answer in this set, once that is on the disk; resolves to false when it may not. */
  open: (set: CoreSet) => Promise<boolean>;
}>;

export type Learner = Readonly<{
  /** Some core reported this set. */
  observe: (set: CoreSet) => void;
}>;

type LearnerState = {
  readonly runtime: Runtime;
  readonly parts: LearnerParts;
  newestSet: Option.Option<CoreSet>;
  isRunning: boolean;
  lastReason: string;
};

const joinMilliseconds = 1_200;
/** A core that has not replied by then is not waited for before the next one is asked. */
const nextCoreMilliseconds = 400;
const pauseMilliseconds = 100;

function isNewest({ newestSet: newest }: LearnerState, set: CoreSet): boolean {
  return Option.isSome(newest) && newest.value.number === set.number;
}

function isListed({ parts }: LearnerState, set: CoreSet): boolean {
  return set.seats.some((seat) => isSameNodeAndDisk(seat, parts.ownSeat()));
}

function peerSeats({ parts }: LearnerState, set: CoreSet): readonly Seat[] {
  return set.seats.filter((seat) => seat.node !== parts.ownSeat().node);
}

/** Copies enough of the others that are in no earlier set than `since`; abandoned once a newer set is known. */
function copyFromPeers(learner: LearnerState, set: CoreSet, epochs: Record<string, number>, since: number): Promise<boolean> {
  const { runtime, parts } = learner;
  runtime.log('core.copying', { set: set.number, seated: isListed(learner, set) });
  return catchUp.copyFromEnough(
    peerSeats(learner, set),
    catchUp.requiredSources(set.seats.length),
    (source, isUnneeded) => parts.transfer.copyFrom(source, Option.some(since), epochs, isUnneeded),
    () => !parts.shouldRun() || !isNewest(learner, set),
  );
}

/** The register as the others serve it: this core asks, and counts for nothing. */
function createRemoteRegister(learner: LearnerState, set: CoreSet): CoreSetRegister {
  const { runtime, parts } = learner;
  const replicas = peerSeats(learner, set).map((seat): RegisterReplica => ({
    core: seat.node,
    send: (call, body, milliseconds) => parts.callCore(seat.address, call, body, milliseconds),
  }));
  return proposer.create(runtime, {
    name: parts.ownSeat().node,
    replicas: () => replicas,
    replicaCount: () => set.seats.length,
    coreSets: {
      // Once a newer set is known these rounds end: their majority may be none any more.
      number: () => (isNewest(learner, set) ? set.number : 0),
      observe: (newer) => observe(learner, newer),
    },
  });
}

/** Catches up in the set that lists this core, and opens there. */
async function catchUpAndOpen(learner: LearnerState, set: CoreSet): Promise<void> {
  const { parts } = learner;
  const epochs: Record<string, number> = { ...set.epochs };
  if (!(await copyFromPeers(learner, set, epochs, set.number))) return;
  await parts.transfer.abstain(epochs);
  const register = createRemoteRegister(learner, set).forCoreSet(set.number);
  if (!(await catchUp.completeUnresolved(parts.cells, register))) return;
  if (isNewest(learner, set) && parts.shouldRun()) await parts.open(set);
}

/** Asks one core for a seat; what it replies later than it is waited for is taken all the same. */
async function requestJoin(learner: LearnerState, set: CoreSet, attempt: number): Promise<void> {
  const { runtime, parts } = learner;
  const addresses = [...peerSeats(learner, set).map((seat) => seat.address), ...parts.seeds()];
  const others = [...new Set(addresses)].filter((address) => address !== parts.ownSeat().address);
  const address = others[attempt % others.length];
  if (address === undefined) return;
  const join = parts.callCore(address, 'join', { seat: parts.ownSeat() }, joinMilliseconds).then(function onReply(reply) {
    if (Option.isNone(reply)) return;
    const { joined, reason, set: reported } = reply.value;
    if (reported !== undefined) observe(learner, reported);
    if (!joined && reason !== learner.lastReason) runtime.log('core.join-waits', { reason });
    learner.lastReason = reason;
  });
  await Promise.race([join, runtime.clock.sleep(nextCoreMilliseconds)]);
}

async function run(learner: LearnerState): Promise<void> {
  const { runtime, parts } = learner;
  let isCopied = false;
  let attempts = 0;
  while (parts.shouldRun() && Option.isSome(learner.newestSet)) {
    const set = learner.newestSet.value;
    if (isListed(learner, set)) await catchUpAndOpen(learner, set);
    else if (!isCopied) isCopied = await copyFromPeers(learner, set, {}, 0);
    else {
      attempts += 1;
      await requestJoin(learner, set, attempts);
    }
    if (parts.shouldRun() && isNewest(learner, set)) await runtime.clock.sleep(pauseMilliseconds);
  }
  learner.isRunning = false;
}

function observe(learner: LearnerState, set: CoreSet): void {
  if (Option.isNone(learner.newestSet) || set.number > learner.newestSet.value.number) learner.newestSet = Option.some(set);
  if (learner.isRunning || !learner.parts.shouldRun()) return;
  learner.isRunning = true;
  void run(learner);
}

function create(runtime: Runtime, parts: LearnerParts): Learner {
  const learner: LearnerState = { runtime, parts, newestSet: Option.none, isRunning: false, lastReason: '' };
  return { observe: (set) => observe(learner, set) };
}

export const learner = { create } as const;
