/** Failure detection of members, by heartbeats and by STATE requests over this node's own connections (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, runtimeUtilities, type Fault, type Instant, type Runtime } from '@stallstall/kernel';
import { httpStateProbes, type HttpStateProbes } from './http-state-probes.js';
import type { MemberProbe, MemberState, ProbedState } from './member-state.js';

/** A member that has been silent for this long is DOWN (`down_after` in the paper that the election follows). Unit: milliseconds. */
export const downAfterMilliseconds = 5_000;

export type Liveness = Readonly<{
  /** Records a state that a member has just sent, in a heartbeat or a reply to STATE. */
  recordState: (state: MemberState) => void;
  /** Records a heartbeat without a state, which this or another node received `agoMilliseconds` ago. */
  recordHeartbeat: (member: string, agoMilliseconds: number) => void;
  /** Records that the member's machine refused a connection: stronger evidence than silence, until the next sign of life. */
  recordRefusedConnection: (member: string) => void;
  /** Whether a heartbeat was received within `downAfterMilliseconds`, and connections were not refused repeatedly since. */
  isAlive: (member: string) => boolean;
  /**
   * Whether the member has been silent for `downAfterMilliseconds`, or refuses connections. A member that was never heard counts as silent
   * since this process started.
   */
  isDown: (member: string) => boolean;
  lastHeartbeatAt: (member: string) => Option.Option<Instant>;
  /** The latest state received from the member; none if no state was received yet. */
  latestState: (member: string) => Option.Option<MemberState>;
  /** Requests a member's STATE. Callers that arrive while a request is in progress share its reply. */
  probe: (member: string, address: string, timeoutMilliseconds: number, service?: string) => Promise<Either.Either<Fault, ProbedState>>;
  /** Opens the connection to a member if it is not open; a refused connection is recorded. */
  ensureConnection: (service: string, member: string, address: string, timeoutMilliseconds: number) => Promise<void>;
  /** Closes the connections to all members but these, which the applied configuration contains. */
  closeConnectionsExcept: (members: ReadonlySet<string>) => void;
}>;

type LivenessState = Readonly<{
  runtime: Runtime;
  memberProbe: Option.Option<MemberProbe>;
  httpProbes: HttpStateProbes;
  listeningSince: Instant;
  lastHeartbeatAt: Map<string, Instant>;
  latestStates: Map<string, MemberState>;
  /** Consecutive refused connections, by member. */
  refusals: Map<string, number>;
  pendingProbes: Map<string, Promise<Either.Either<Fault, ProbedState>>>;
  connecting: Set<string>;
}>;

/** A member is DOWN after this many consecutive refused connections, even if it has not been silent for `downAfterMilliseconds`. */
const refusalsUntilDown = 2;
/** A heartbeat received less than this long ago resets the count of refused connections. Unit: milliseconds. */
const freshHeartbeatMilliseconds = 500;

function recordState({ runtime, lastHeartbeatAt, latestStates }: LivenessState, state: MemberState): void {
  lastHeartbeatAt.set(state.member, runtime.clock.now());
  latestStates.set(state.member, state);
}

function recordHeartbeat({ runtime, lastHeartbeatAt, refusals }: LivenessState, member: string, agoMilliseconds: number): void {
  const receivedAt = identifiers.after(runtime.clock.now(), -agoMilliseconds);
  if (receivedAt > (lastHeartbeatAt.get(member) ?? Number.NEGATIVE_INFINITY)) lastHeartbeatAt.set(member, receivedAt);
  if (agoMilliseconds < freshHeartbeatMilliseconds) refusals.delete(member);
}

function recordRefusedConnection({ refusals }: LivenessState, member: string): void {
  refusals.set(member, (refusals.get(member) ?? 0) + 1);
}

function isRefusing({ refusals }: LivenessState, member: string): boolean {
  return (refusals.get(member) ?? 0) >= refusalsUntilDown;
}

function isAlive(liveness: LivenessState, member: string): boolean {
  const lastHeartbeatAt = liveness.lastHeartbeatAt.get(member);
  if (isRefusing(liveness, member)) return false;
  return lastHeartbeatAt !== undefined && liveness.runtime.clock.now() - lastHeartbeatAt < downAfterMilliseconds;
}

function isDown(liveness: LivenessState, member: string): boolean {
  const silentSince = liveness.lastHeartbeatAt.get(member) ?? liveness.listeningSince;
  return isRefusing(liveness, member) || liveness.runtime.clock.now() - silentSince >= downAfterMilliseconds;
}

/** Records a failed connection if the member's machine replied with a refusal; a machine that does not reply only counts as silent. */
function recordFailure(liveness: LivenessState, member: string, failure: Fault): void {
  if (fault.kind(failure) === 'not-listening') recordRefusedConnection(liveness, member);
}

async function readThroughMemberProbe(
  liveness: LivenessState,
  memberProbe: MemberProbe,
  {
    service,
    member,
    address,
    timeoutMilliseconds,
  }: Readonly<{ service: string; member: string; address: string; timeoutMilliseconds: number }>,
): Promise<Either.Either<Fault, ProbedState>> {
  const sentAt = liveness.runtime.clock.now();
  const state = await memberProbe.readState(service, member, address, timeoutMilliseconds);
  liveness.pendingProbes.delete(member);
  if (Either.isLeft(state)) {
    recordFailure(liveness, member, state.left);
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
  timeoutMilliseconds: number,
): Promise<Either.Either<Fault, ProbedState>> {
  const sentAt = liveness.runtime.clock.now();
  const state = await liveness.httpProbes.readState(member, address, timeoutMilliseconds);
  liveness.pendingProbes.delete(member);
  if (Either.isLeft(state)) return state;
  recordState(liveness, state.right);
  return Either.right({ sentAt, state: state.right });
}

function probe(
  liveness: LivenessState,
  member: string,
  address: string,
  timeoutMilliseconds: number,
  service: string,
): Promise<Either.Either<Fault, ProbedState>> {
  const pending = liveness.pendingProbes.get(member);
  if (pending !== undefined) return pending;
  const probing = Option.isSome(liveness.memberProbe)
    ? readThroughMemberProbe(liveness, liveness.memberProbe.value, { service, member, address, timeoutMilliseconds })
    : readThroughHttp(liveness, member, address, timeoutMilliseconds);
  liveness.pendingProbes.set(member, probing);
  return probing;
}

async function ensureConnection(
  liveness: LivenessState,
  service: string,
  member: string,
  address: string,
  timeoutMilliseconds: number,
): Promise<void> {
  const { memberProbe, connecting } = liveness;
  if (Option.isNone(memberProbe) || connecting.has(member)) return;
  connecting.add(member);
  const connected = await memberProbe.value.ensureConnection(service, member, address, timeoutMilliseconds);
  connecting.delete(member);
  if (Either.isRight(connected)) liveness.refusals.delete(member);
  else recordFailure(liveness, member, connected.left);
}

/** @param memberProbe - reads the state of members; none where members implement this product's own HTTP API */
function create(runtime: Runtime, memberProbe: Option.Option<MemberProbe> = Option.none): Liveness {
  const state: LivenessState = {
    runtime,
    memberProbe,
    httpProbes: httpStateProbes.create(runtime),
    listeningSince: runtime.clock.now(),
    lastHeartbeatAt: new Map(),
    latestStates: new Map(),
    refusals: new Map(),
    pendingProbes: new Map(),
    connecting: new Set(),
  };
  return {
    recordState: (memberState) => recordState(state, memberState),
    recordHeartbeat: (member, agoMilliseconds) => recordHeartbeat(state, member, agoMilliseconds),
    recordRefusedConnection: (member) => recordRefusedConnection(state, member),
    isAlive: (member) => isAlive(state, member),
    isDown: (member) => isDown(state, member),
    lastHeartbeatAt: (member) => Option.fromNullable(state.lastHeartbeatAt.get(member)),
    latestState: (member) => Option.fromNullable(state.latestStates.get(member)),
    probe: (member, address, timeoutMilliseconds, service = '') => probe(state, member, address, timeoutMilliseconds, service),
    ensureConnection: (service, member, address, timeoutMilliseconds) =>
      ensureConnection(state, service, member, address, timeoutMilliseconds),
    closeConnectionsExcept: state.httpProbes.closeExcept,
  };
}

/** The name under which other services of the process find the liveness of members. */
export const livenessService = runtimeUtilities.serviceName<Liveness>('liveness');

export const liveness = { create } as const;
