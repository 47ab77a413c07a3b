/** Failure detection: what this node itself has heard of each member, by heartbeats and by STATE over its own connection (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, runtimeUtilities, type Fault, type Instant, type Runtime } from '@stallstall/kernel';
import { httpStateProbes, type HttpStateProbes } from './http-state-probes.js';
import type { MemberProbe, MemberState, ProbedState } from './member-state.js';

/** A member silent for so long is DOWN (the paper's down_after). Unit: milliseconds. */
export const downAfterMilliseconds = 5_000;

export type Liveness = Readonly<{
  /** Takes a heartbeat that carries the member's state. */
  recordState: (state: MemberState) => void;
  /** Takes a heartbeat without a state, received here or by another node so long ago. */
  recordHeartbeat: (member: string, agoMilliseconds: number) => void;
  /** The member's machine refused a connection: stronger evidence than silence, until the member is heard again. */
  recordRefusedConnection: (member: string) => void;
  /** Heard within `downAfterMilliseconds`, and not refusing connections since. */
  isAlive: (member: string) => boolean;
  /** Silent for so long as to be DOWN; a process that has only begun to listen declares nobody DOWN yet. */
  isDown: (member: string) => boolean;
  lastHeartbeatAt: (member: string) => Option.Option<Instant>;
  /** The newest state that this node was told; none if there was none yet. */
  latestState: (member: string) => Option.Option<MemberState>;
  /** Asks a member for its STATE; callers that arrive while it is asked share the reply. */
  probe: (member: string, address: string, milliseconds: number, service?: string) => Promise<Either.Either<Fault, ProbedState>>;
  /** Sees that the connection to a member is open; a refusal counts as evidence. */
  ensureConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<void>;
  /** Closes connections to members that no configuration names any more. */
  closeConnectionsExcept: (members: ReadonlySet<string>) => void;
}>;

type LivenessState = Readonly<{
  runtime: Runtime;
  memberProbe: Option.Option<MemberProbe>;
  httpProbes: HttpStateProbes;
  listeningSince: Instant;
  heardAt: Map<string, Instant>;
  states: Map<string, MemberState>;
  /** Refused connections in a row, by member. */
  refusals: Map<string, number>;
  probing: Map<string, Promise<Either.Either<Fault, ProbedState>>>;
  keepingConnection: Set<string>;
}>;

/** So many refusals in a row, with no heartbeat in between, make a member DOWN before its silence does. */
const refusalsUntilDown = 2;
/** A heartbeat this young outweighs earlier refusals. Unit: milliseconds. */
const freshMilliseconds = 500;

function recordState({ runtime, heardAt, states }: LivenessState, state: MemberState): void {
  heardAt.set(state.member, runtime.clock.now());
  states.set(state.member, state);
}

function recordHeartbeat({ runtime, heardAt, refusals }: LivenessState, member: string, agoMilliseconds: number): void {
  const at = identifiers.after(runtime.clock.now(), -agoMilliseconds);
  if (at > (heardAt.get(member) ?? Number.NEGATIVE_INFINITY)) heardAt.set(member, at);
  if (agoMilliseconds < freshMilliseconds) refusals.delete(member);
}

function recordRefusedConnection({ refusals }: LivenessState, member: string): void {
  refusals.set(member, (refusals.get(member) ?? 0) + 1);
}

function isRefusing({ refusals }: LivenessState, member: string): boolean {
  return (refusals.get(member) ?? 0) >= refusalsUntilDown;
}

function isAlive(liveness: LivenessState, member: string): boolean {
  const heardAt = liveness.heardAt.get(member);
  if (isRefusing(liveness, member)) return false;
  return heardAt !== undefined && liveness.runtime.clock.now() - heardAt < downAfterMilliseconds;
}

function isDown(liveness: LivenessState, member: string): boolean {
  const silentSince = liveness.heardAt.get(member) ?? liveness.listeningSince;
  return isRefusing(liveness, member) || liveness.runtime.clock.now() - silentSince >= downAfterMilliseconds;
}

/** A failed connection tells of a refusal where the member's machine replied at all. */
function observeFailure(liveness: LivenessState, member: string, failure: Fault): void {
  if (fault.kind(failure) === 'not-listening') recordRefusedConnection(liveness, member);
}

async function readThroughProbe(
  liveness: LivenessState,
  memberProbe: MemberProbe,
  { service, member, address, milliseconds }: Readonly<{ service: string; member: string; address: string; milliseconds: number }>,
): Promise<Either.Either<Fault, ProbedState>> {
  const sentAt = liveness.runtime.clock.now();
  const state = await memberProbe.readState(service, member, address, milliseconds);
  liveness.probing.delete(member);
  if (Either.isLeft(state)) {
    observeFailure(liveness, member, state.left);
    return state;
  }
  liveness.refusals.delete(member);
  recordState(liveness, state.right);
  return Either.right({ sentAt, state: state.right });
}

async function readThroughHttp(
  liveness: LivenessState,
  member: string,
  address: string,
  milliseconds: number,
): Promise<Either.Either<Fault, ProbedState>> {
  const sentAt = liveness.runtime.clock.now();
  const state = await liveness.httpProbes.readState(member, address, milliseconds);
  liveness.probing.delete(member);
  if (Either.isLeft(state)) return state;
  recordState(liveness, state.right);
  return Either.right({ sentAt, state: state.right });
}

function probe(
  liveness: LivenessState,
  member: string,
  address: string,
  milliseconds: number,
  service: string,
): Promise<Either.Either<Fault, ProbedState>> {
  const underWay = liveness.probing.get(member);
  if (underWay !== undefined) return underWay;
  const started = Option.isSome(liveness.memberProbe)
    ? readThroughProbe(liveness, liveness.memberProbe.value, { service, member, address, milliseconds })
    : readThroughHttp(liveness, member, address, milliseconds);
  liveness.probing.set(member, started);
  return started;
}

async function ensureConnection(
  liveness: LivenessState,
  service: string,
  member: string,
  address: string,
  milliseconds: number,
): Promise<void> {
  const { memberProbe, keepingConnection } = liveness;
  if (Option.isNone(memberProbe) || keepingConnection.has(member)) return;
  keepingConnection.add(member);
  const kept = await memberProbe.value.ensureConnection(service, member, address, milliseconds);
  keepingConnection.delete(member);
  if (Either.isRight(kept)) liveness.refusals.delete(member);
  else observeFailure(liveness, member, kept.left);
}

/** @param memberProbe - how members are reached; none where they speak this product's own HTTP */
function create(runtime: Runtime, memberProbe: Option.Option<MemberProbe> = Option.none): Liveness {
  const state: LivenessState = {
    runtime,
    memberProbe,
    httpProbes: httpStateProbes.create(runtime),
    listeningSince: runtime.clock.now(),
    heardAt: new Map(),
    states: new Map(),
    refusals: new Map(),
    probing: new Map(),
    keepingConnection: new Set(),
  };
  return {
    recordState: (memberState) => recordState(state, memberState),
    recordHeartbeat: (member, agoMilliseconds) => recordHeartbeat(state, member, agoMilliseconds),
    recordRefusedConnection: (member) => recordRefusedConnection(state, member),
    isAlive: (member) => isAlive(state, member),
    isDown: (member) => isDown(state, member),
    lastHeartbeatAt: (member) => Option.fromNullable(state.heardAt.get(member)),
    latestState: (member) => Option.fromNullable(state.states.get(member)),
    probe: (member, address, milliseconds, service = '') => probe(state, member, address, milliseconds, service),
    ensureConnection: (service, member, address, milliseconds) => ensureConnection(state, service, member, address, milliseconds),
    closeConnectionsExcept: state.httpProbes.closeExcept,
  };
}

/** The name under which a process's other services find what is known of its members. */
export const livenessService = runtimeUtilities.serviceName<Liveness>('liveness');

export const liveness = { create } as const;
