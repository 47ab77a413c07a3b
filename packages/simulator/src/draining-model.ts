/**
 * A model of one member and of the registries of its cores: random histories of late heartbeats, cuts, crashes, restarts and replaced cores, with
 * the product's own registries and the view that edges derive from them (design 4.7). A violation is an edge that sees a member as in service
 * whose process has had its draining acknowledged, or a member in service that is not seen so within the bound once all is calm.
 */
import { liveness, livenessService } from '@stallstall/election';
import { mergedView } from '@stallstall/lease/merged-view';
import { memberRegistry, type MemberRegistry, type Registration } from '@stallstall/member-registry';
import type { MemberRecord } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { between, pick } from './draws.js';
import { world as worlds, type World } from './world.js';

type ModelCore = {
  registry: MemberRegistry;
  /** Its records on disk. */
  stored: readonly MemberRecord[];
  isUp: boolean;
  /** Neither other cores nor, if `isMemberCut`, the member reach it. */
  isCutOff: boolean;
  isMemberCut: boolean;
};

/** A heartbeat that is still on its way to a core. */
type DelayedHeartbeat = Readonly<{ registration: Registration; core: number; arrivesAt: number }>;

/** A process of the member. */
type ModelProcess = { sequence: number; isDraining: boolean; isAcknowledged: boolean };

type ModelState = {
  readonly world: World;
  readonly cores: ModelCore[];
  process: ModelProcess | undefined;
  delayed: readonly DelayedHeartbeat[];
  delayedShare: number;
  nextHeartbeatAt: number;
  nextQueryAt: number;
  nextEventAt: number;
  starts: number;
  /** How many processes have had their draining acknowledged. */
  acknowledged: number;
  readonly events: string[];
};

export type DrainingHistory = Readonly<{ events: readonly string[]; acknowledged: number; returns: number; violations: readonly string[] }>;

export type DrainingModelOptions = Readonly<{ coreCount?: number; milliseconds?: number }>;

const member = 'member-1';
const stepMilliseconds = 100;
const heartbeatMilliseconds = 1_200;
const queryMilliseconds = 1_000;
const maximumDelayMilliseconds = 10_000;
const longestCutMilliseconds = 15_000;
/** What a cut holds up arrives with a later attempt after its end. */
const longestHoldMilliseconds = 20_000;
/** Late heartbeats have arrived after this time. */
const calmMilliseconds = longestHoldMilliseconds + stepMilliseconds;
/** The bound of design 4.7. */
const returnMilliseconds = 20_000;

function newRegistry(state: Pick<ModelState, 'world' | 'starts'>): MemberRegistry {
  state.starts += 1;
  const { runtime } = state.world.spawn(`core-process-${state.starts}`, `core-machine-${state.starts}`);
  runtime.services.register(livenessService, liveness.create(runtime));
  return memberRegistry.create(runtime, () => undefined);
}

function newCore(state: Pick<ModelState, 'world' | 'starts'>): ModelCore {
  return { registry: newRegistry(state), stored: [], isUp: true, isCutOff: false, isMemberCut: false };
}

function record(state: ModelState, event: string): void {
  state.events.push(`${Math.round(state.world.now())} ${event}`);
}

function connectedCores({ cores }: ModelState): readonly ModelCore[] {
  return cores.filter((core) => core.isUp && !core.isCutOff);
}

function isInContact(state: ModelState, core: ModelCore): boolean {
  const connected = connectedCores(state);
  return connected.includes(core) && connected.length >= quorum.majority(state.cores.length);
}

function sendAll(state: ModelState): void {
  for (const sender of connectedCores(state))
    for (const receiver of connectedCores(state)) if (receiver !== sender) receiver.registry.mergeHeartbeats(sender.registry.snapshot());
}

function forward(state: ModelState): void {
  for (const sender of connectedCores(state)) {
    const heartbeats = sender.registry.takeRecentHeartbeats();
    for (const receiver of connectedCores(state)) if (receiver !== sender) receiver.registry.mergeHeartbeats(heartbeats);
  }
}

function store(core: ModelCore): void {
  core.stored = core.registry.changedSince(0);
}

/** A core receives a heartbeat; true if it acknowledges it, with the draining on the disks of a majority. */
function receive(state: ModelState, core: ModelCore, registration: Registration): boolean {
  core.registry.recordHeartbeat(registration);
  if (!isInContact(state, core)) return false;
  forward(state);
  if (registration.draining) for (const connected of connectedCores(state)) store(connected);
  return true;
}

function deliverDelayed(state: ModelState): void {
  const due = state.delayed.filter(({ arrivesAt, core }) => arrivesAt <= state.world.now() && state.cores[core]?.isMemberCut === false);
  state.delayed = state.delayed.filter((heartbeat) => !due.includes(heartbeat));
  for (const { registration, core: index } of due) {
    const core = state.cores[index] as ModelCore;
    if (core.isUp) receive(state, core, registration);
  }
}

/** The member calls one core after the other until one acknowledges; each call has a number of its own, and some arrive late. */
function sendHeartbeat(state: ModelState, process: ModelProcess): void {
  const { world, cores } = state;
  const first = Math.floor(world.fraction() * cores.length);
  for (let attempt = 0; attempt < cores.length; attempt += 1) {
    const index = (first + attempt) % cores.length;
    const core = cores[index] as ModelCore;
    process.sequence += 1;
    const registration: Registration = {
      member,
      service: 'ferries',
      address: '10.3.0.1:5000',
      area: 'north',
      draining: process.isDraining,
      role: 'replica',
      slots: 4,
      sequence: process.sequence,
    };
    if (core.isMemberCut || world.fraction() < state.delayedShare) {
      const delayMilliseconds = between(state, 0, core.isMemberCut ? longestHoldMilliseconds : maximumDelayMilliseconds);
      state.delayed = [...state.delayed, { registration, core: index, arrivesAt: world.now() + delayMilliseconds }];
    } else if (core.isUp && receive(state, core, registration)) {
      if (process.isDraining && !process.isAcknowledged) state.acknowledged += 1;
      process.isAcknowledged ||= process.isDraining;
      return;
    }
  }
}

function queryMember(state: ModelState): void {
  for (const core of state.cores) {
    if (!isInContact(state, core) || core.isMemberCut || state.process === undefined) continue;
    if (core.registry.questionedMembers().length > 0) core.registry.recordReply(member);
  }
}

function schedule(state: ModelState, milliseconds: number, name: string, action: () => void): void {
  state.world.schedule(milliseconds, function act() {
    record(state, name);
    action();
  });
}

function startProcess(state: ModelState): void {
  state.process ??= { sequence: 0, isDraining: false, isAcknowledged: false };
}

/** The member drains; in half of the cases the cores lose sight of it soon after. */
function drain(state: ModelState): void {
  if (state.process !== undefined) state.process.isDraining = true;
  if (state.world.fraction() < 0.5) schedule(state, between(state, 0, 2_000), 'the member is cut off', () => cutMember(state));
}

function crash(state: ModelState): void {
  state.process = undefined;
  schedule(state, between(state, 100, 6_000), 'the member starts anew', () => startProcess(state));
}

/** The member is cut off from all cores or from some of them, and not from edges. */
function cutMember(state: ModelState): void {
  const cut = state.cores.filter(() => state.world.fraction() < 0.8);
  for (const core of cut) core.isMemberCut = true;
  schedule(state, between(state, 500, longestCutMilliseconds), 'the member is no longer cut off', () => {
    for (const core of cut) core.isMemberCut = false;
  });
}

function cutCore(state: ModelState): void {
  const core = pick(state, state.cores);
  core.isCutOff = true;
  schedule(state, between(state, 500, longestCutMilliseconds), 'a core is no longer cut off', () => {
    core.isCutOff = false;
    sendAll(state);
  });
}

function restart(state: ModelState, core: ModelCore): void {
  core.isUp = false;
  schedule(state, between(state, 100, 4_000), 'a core starts again', () => {
    core.registry = newRegistry(state);
    core.registry.restore(core.stored);
    core.isUp = true;
    sendAll(state);
  });
}

function restartCore(state: ModelState): void {
  const core = pick(state, state.cores);
  if (core.isUp) restart(state, core);
}

function restartAllCores(state: ModelState): void {
  for (const core of state.cores) if (core.isUp) restart(state, core);
}

/** One disk may be lost at a time, and the next one only once every core has heard of the others again. */
function replaceCore(state: ModelState): void {
  if (connectedCores(state).length < state.cores.length) return;
  const core = pick(state, state.cores);
  core.registry = newRegistry(state);
  core.stored = [];
  core.isCutOff = true;
  schedule(state, between(state, 0, 1_000), 'a replaced core hears the others', () => {
    core.isCutOff = false;
    sendAll(state);
    for (const connected of connectedCores(state)) store(connected);
  });
}

function delayHeartbeats(state: ModelState): void {
  state.delayedShare = between(state, 0, 0.8);
}

const events: ReadonlyArray<readonly [string, (state: ModelState) => void]> = [
  ['the member drains', drain],
  ['the member drains', drain],
  ['the member crashes', crash],
  ['the member is cut off', cutMember],
  ['a core is cut off', cutCore],
  ['a core is killed', restartCore],
  ['all cores are killed', restartAllCores],
  ['a core is replaced', replaceCore],
  ['heartbeats are delayed', delayHeartbeats],
];

/** The cores that an edge may hear, each as the index of a core: all that run, and each majority of them that lacks one. */
function heardSets({ cores }: ModelState): ReadonlyArray<readonly ModelCore[]> {
  const running = cores.filter((core) => core.isUp);
  const withoutOne = running.map((left) => running.filter((core) => core !== left));
  return [running, ...withoutOne].filter((heard) => heard.length >= quorum.majority(cores.length));
}

function isSeenInService(state: ModelState, heard: readonly ModelCore[]): boolean {
  const reports = heard.map(({ registry }) => ({
    members: new Map(registry.changedSince(0).map((entry) => [entry.member, entry] as const)),
  }));
  return mergedView.members(reports, state.cores.length).some((entry) => !entry.draining);
}

function step(state: ModelState): void {
  const now = state.world.now();
  deliverDelayed(state);
  if (state.process !== undefined && now >= state.nextHeartbeatAt) {
    sendHeartbeat(state, state.process);
    state.nextHeartbeatAt = now + heartbeatMilliseconds * between(state, 0.95, 1.05);
  }
  if (now >= state.nextQueryAt) {
    queryMember(state);
    state.nextQueryAt = now + queryMilliseconds;
  }
  forward(state);
  for (const core of state.cores) {
    if (!core.isUp) continue;
    core.registry.sweep();
    if (state.world.fraction() < 0.3) store(core);
  }
}

function violationOf(state: ModelState): string | undefined {
  if (state.process?.isAcknowledged !== true) return undefined;
  const isSeen = heardSets(state).some((heard) => isSeenInService(state, heard));
  return isSeen ? `${Math.round(state.world.now())}: an edge sees the draining member as in service` : undefined;
}

function calm(state: ModelState): void {
  for (const core of state.cores) {
    core.isCutOff = false;
    core.isMemberCut = false;
  }
  state.delayedShare = 0;
  sendAll(state);
}

async function run(state: ModelState, milliseconds: number, isStormy: boolean): Promise<string | undefined> {
  const until = state.world.now() + milliseconds;
  while (state.world.now() < until) {
    await state.world.run(stepMilliseconds);
    if (isStormy && state.world.now() >= state.nextEventAt) {
      const [name, action] = pick(state, events);
      record(state, name);
      action(state);
      state.nextEventAt = state.world.now() + between(state, 100, 5_000);
    }
    step(state);
    const violation = violationOf(state);
    if (violation !== undefined) return violation;
  }
  return undefined;
}

/** At the end the member starts anew, in service, and all is calm; it must be seen so within the bound once late heartbeats have arrived. */
async function endHistory(state: ModelState): Promise<string | undefined> {
  await run(state, longestCutMilliseconds, false);
  calm(state);
  if (state.process?.isDraining === true) state.process = undefined;
  startProcess(state);
  await run(state, calmMilliseconds + returnMilliseconds, false);
  const isSeen = heardSets(state).every((heard) => isSeenInService(state, heard));
  return isSeen ? undefined : `${Math.round(state.world.now())}: an edge does not see the member as in service`;
}

/** Runs one random history. */
async function explore(seed: number, { coreCount = 3, milliseconds = 60_000 }: DrainingModelOptions = {}): Promise<DrainingHistory> {
  const starting = { world: worlds.create(seed), starts: 0 };
  const state: ModelState = {
    ...starting,
    cores: Array.from({ length: coreCount }, () => newCore(starting)),
    process: { sequence: 0, isDraining: false, isAcknowledged: false },
    delayed: [],
    delayedShare: 0.3,
    nextHeartbeatAt: 0,
    nextQueryAt: 0,
    nextEventAt: 3_000,
    acknowledged: 0,
    events: [],
  };
  state.starts = starting.starts;
  const violation = (await run(state, milliseconds, true)) ?? (await endHistory(state));
  const { logs } = state.world;
  return {
    events: state.events,
    acknowledged: state.acknowledged,
    returns: logs.filter((line) => line.event === 'member.in-service').length,
    violations: violation === undefined ? [] : [violation],
  };
}

export const drainingModel = { explore } as const;
