/**
 * A core that no core set lists: it copies the state of the fleet's cores, asks them to be listed, and serves nothing until it has caught
 * up in the set that lists it (design 4.8).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { CoreSet, NodeRecord } from '@stallstall/message';
import { catchUp, isSameNodeAndDisk, proposer, type Acceptor, type CoreSetRegister, type RegisterReplica } from '@stallstall/register';
import type { CoreCall } from './core-calls.js';
import type { StateTransfer } from './state-transfer.js';

export type LearnerParts = Readonly<{
  callCore: CoreCall;
  cells: Acceptor;
  transfer: StateTransfer;
  /** This node's entry for a core set, with its current disk identity. */
  ownSeat: () => NodeRecord;
  /** Addresses to try besides those of the cores in the newest known set. */
  seeds: () => readonly string[];
  /** False once this core serves, leaves or stops. */
  shouldRun: () => boolean;
  /** Starts to serve in this set once the set is synced to the disk; resolves to false when this core may not serve in it. */
  open: (set: CoreSet) => Promise<boolean>;
}>;

export type Learner = Readonly<{
  /** Called with every set that another core reports. */
  observe: (set: CoreSet) => void;
  /** What this core is doing to be listed and to catch up. */
  step: () => LearnerStep;
}>;

export type LearnerStep = 'waiting-for-a-set' | 'copying' | 'asking-to-join' | 'copying-as-listed' | 'completing-cells' | 'opening';

type LearnerState = {
  readonly runtime: Runtime;
  readonly parts: LearnerParts;
  newestSet: Option.Option<CoreSet>;
  isRunning: boolean;
  step: LearnerStep;
  lastReason: string;
};

const joinMilliseconds = 1_200;
/** How long to wait for a core's reply to a join request before the next core is asked as well. */
const nextCoreMilliseconds = 400;
const retryMilliseconds = 100;

function isNewest({ newestSet }: LearnerState, set: CoreSet): boolean {
  return Option.isSome(newestSet) && newestSet.value.number === set.number;
}

function isListed({ parts }: LearnerState, set: CoreSet): boolean {
  return set.seats.some((seat) => isSameNodeAndDisk(seat, parts.ownSeat()));
}

function peerSeats({ parts }: LearnerState, set: CoreSet): readonly NodeRecord[] {
  return set.seats.filter((seat) => seat.node !== parts.ownSeat().node);
}

/** Copies the state of as many other cores as needed that are in set `since` or a later one; abandoned once a newer set is known. */
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

/** A register client over the other cores; this core's own disk is not one of the replicas. */
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
      // 0 ends these rounds once a newer set is known, since their majority may be no majority of the newer set.
      number: () => (isNewest(learner, set) ? set.number : 0),
      observe: (newer) => observe(learner, newer),
    },
  });
}

/** Catches up in the set that lists this core, then starts to serve in it. */
async function catchUpAndOpen(learner: LearnerState, set: CoreSet): Promise<void> {
  const { parts } = learner;
  const epochs: Record<string, number> = { ...set.epochs };
  learner.step = 'copying-as-listed';
  if (!(await copyFromPeers(learner, set, epochs, set.number))) return;
  await parts.transfer.abstain(epochs);
  learner.step = 'completing-cells';
  const register = createRemoteRegister(learner, set).forCoreSet(set.number);
  if (!(await catchUp.completeUnresolved(parts.cells, register))) return;
  learner.step = 'opening';
  if (isNewest(learner, set) && parts.shouldRun()) await parts.open(set);
}

/** Asks one core to list this one; a reply that arrives after the wait has ended is still processed. */
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
    else if (!isCopied) {
      learner.step = 'copying';
      isCopied = await copyFromPeers(learner, set, {}, 0);
    } else {
      learner.step = 'asking-to-join';
      attempts += 1;
      await requestJoin(learner, set, attempts);
    }
    if (parts.shouldRun() && isNewest(learner, set)) await runtime.clock.sleep(retryMilliseconds);
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
  const learner: LearnerState = { runtime, parts, newestSet: Option.none, isRunning: false, step: 'waiting-for-a-set', lastReason: '' };
  return { observe: (set) => observe(learner, set), step: () => learner.step };
}

export const learner = { create } as const;
