// What this node itself has heard of each member: beats, and STATE over its own probe connection (design 7.1).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import { fault, kernel as kernels, type Fault, type HttpConnection, type Instant, type Kernel } from '@stallstall/kernel';
import { message } from '@stallstall/message';

/** The paper's down_after: this much silence flags a member DOWN. */
export const downAfterMilliseconds = 5_000;

export const MemberStateSchema = Type.Object({
  member: Type.String({ minLength: 1, maxLength: 200 }),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  epoch: Type.Integer({ minimum: 0 }),
  received: Type.Integer({ minimum: 0 }),
  applied: Type.Integer({ minimum: 0 }),
  /** The term at which it stands, where members keep terms of their own beside the epochs of this fleet. */
  term: Type.Optional(Type.Integer({ minimum: 0 })),
});
export type MemberState = Readonly<Static<typeof MemberStateSchema>>;

/** `sentAt` is when the question left, also for whoever joined a question that was under way. */
export type Probed = Readonly<{ sentAt: Instant; state: MemberState }>;

/** How a member is asked for its STATE, where it is not this product's own HTTP. */
export type MemberProbe = Readonly<{
  readState: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberState>>;
  /** Keeps the connection open and asks nothing: a probe has its price, a held connection none. */
  keepConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, null>>;
}>;

export type Liveness = Readonly<{
  heartbeat: (state: MemberState) => void;
  /** A beat without a state, taken here or by another node so long ago. */
  observeHeartbeat: (member: string, agoMilliseconds: number) => void;
  /** Its machine says that nothing listens there: more than silence tells, until the member is heard again. */
  connectionRefused: (member: string) => void;
  isAlive: (member: string) => boolean;
  /** Silent for so long as to be DOWN; a process that has only begun to listen flags nobody yet. */
  isDown: (member: string) => boolean;
  lastHeartbeatAt: (member: string) => Option.Option<Instant>;
  state: (member: string) => Option.Option<MemberState>;
  /** Asks a member for its STATE over the one probe connection this node keeps to it. */
  probe: (member: string, address: string, milliseconds: number, service?: string) => Promise<Either.Either<Fault, Probed>>;
  /** Sees that the connection to a member stands; a refusal counts as evidence. */
  keepConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<void>;
  /** Closes probes to members that no configuration names any more. */
  keepOnly: (members: ReadonlySet<string>) => void;
}>;

type Probe = Readonly<{ address: string; connection: HttpConnection }>;

/** So many closedPorts in a row, none of them followed by a beat, flag a member DOWN before its silence does. */
const closedPortsDown = 2;
/** A beat this young says that a member runs, whoever was refused before. */
const freshMilliseconds = 500;

function create(kernel: Kernel, memberProbe: Option.Option<MemberProbe> = Option.none): Liveness {
  const listeningSince = kernel.clock.now();
  const heardAt = new Map<string, Instant>();
  const states = new Map<string, MemberState>();
  const probes = new Map<string, Probe>();
  const closedPorts = new Map<string, number>();
  const asking = new Map<string, Promise<Either.Either<Fault, Probed>>>();

  function beat(state: MemberState): void {
    heardAt.set(state.member, kernel.clock.now());
    states.set(state.member, state);
  }

  function heardAgo(member: string, agoMilliseconds: number): void {
    const at = kernel.clock.now() - agoMilliseconds;
    if (at > (heardAt.get(member) ?? Number.NEGATIVE_INFINITY)) heardAt.set(member, at as Instant);
    if (agoMilliseconds < freshMilliseconds) closedPorts.delete(member);
  }

  function notListening(member: string): void {
    closedPorts.set(member, (closedPorts.get(member) ?? 0) + 1);
  }

  function isNotListening(member: string): boolean {
    return (closedPorts.get(member) ?? 0) >= closedPortsDown;
  }

  function alive(member: string): boolean {
    const heard = heardAt.get(member);
    if (isNotListening(member)) return false;
    return heard !== undefined && kernel.clock.now() - heard < downAfterMilliseconds;
  }

  function down(member: string): boolean {
    return isNotListening(member) || kernel.clock.now() - (heardAt.get(member) ?? listeningSince) >= downAfterMilliseconds;
  }

  function connectionTo(member: string, address: string): HttpConnection {
    const held = probes.get(member);
    if (held !== undefined && held.address === address && !held.connection.closed()) return held.connection;
    held?.connection.close();
    const connection = kernel.network.connect(address as never);
    probes.set(member, { address, connection });
    return connection;
  }

  async function askLine(
    way: MemberProbe,
    service: string,
    member: string,
    address: string,
    milliseconds: number,
  ): Promise<Either.Either<Fault, Probed>> {
    const sentAt = kernel.clock.now();
    const state = await way.readState(service, member, address, milliseconds);
    asking.delete(member);
    if (Either.isLeft(state)) {
      if (fault.kind(state.left) === 'not-listening') notListening(member);
      return state;
    }
    closedPorts.delete(member);
    beat(state.right);
    return Either.right({ sentAt, state: state.right });
  }

  async function ask(member: string, address: string, milliseconds: number): Promise<Either.Either<Fault, Probed>> {
    const sentAt = kernel.clock.now();
    const reply = await connectionTo(member, address).exchange({ method: 'GET', path: '/state' }, milliseconds);
    asking.delete(member);
    if (Either.isLeft(reply)) return reply;
    if (!message.matches(MemberStateSchema, reply.right.body) || reply.right.body.member !== member) {
      return Either.left(
        fault.create({
          kind: 'unreachable',
          message: `${member} at ${address} gave no STATE that can be read`,
          remedy: 'check that the sheet names the right address',
        }),
      );
    }
    beat(reply.right.body);
    return Either.right({ sentAt, state: reply.right.body });
  }

  function probe(member: string, address: string, milliseconds: number, service = ''): Promise<Either.Either<Fault, Probed>> {
    const current = asking.get(member);
    if (current !== undefined) return current;
    const started = Option.isSome(memberProbe)
      ? askLine(memberProbe.value, service, member, address, milliseconds)
      : ask(member, address, milliseconds);
    asking.set(member, started);
    return started;
  }

  const holding = new Set<string>();

  async function hold(service: string, member: string, address: string, milliseconds: number): Promise<void> {
    if (Option.isNone(memberProbe) || holding.has(member)) return;
    holding.add(member);
    const held = await memberProbe.value.keepConnection(service, member, address, milliseconds);
    holding.delete(member);
    if (Either.isRight(held)) closedPorts.delete(member);
    else if (fault.kind(held.left) === 'not-listening') notListening(member);
  }

  function keepOnly(members: ReadonlySet<string>): void {
    for (const [member, held] of probes) {
      if (members.has(member)) continue;
      held.connection.close();
      probes.delete(member);
    }
  }

  return {
    heartbeat: beat,
    observeHeartbeat: heardAgo,
    connectionRefused: notListening,
    isAlive: alive,
    isDown: down,
    probe,
    keepConnection: hold,
    keepOnly,
    lastHeartbeatAt: function lastHeard(member) {
      return Option.fromNullable(heardAt.get(member));
    },
    state: function state(member) {
      return Option.fromNullable(states.get(member));
    },
  };
}

export const livenessService = kernels.serviceName<Liveness>('liveness');

export const liveness = { create } as const;
