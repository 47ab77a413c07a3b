/** Queries the STATE of members over one persistent connection to each (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import type { Dialect, MemberStatus, StatementReply } from './dialect.js';
import { memberConnection, type MemberAddress, type MemberConnection } from './member-connection.js';

export type MemberProber = Readonly<{
  /**
   * Keeps a connection open without sending queries. When it breaks and a new one is refused, the member's crash is detected immediately.
   * Errors: those of `memberConnection.open`.
   */
  ensureConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, null>>;
  /** Errors: `reply-lost`, `departed` when another member answers at the address, `overloaded` when the member does not return a valid STATE, and those of `memberConnection.open`. */
  readStatus: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberStatus>>;
}>;

type PendingConnection = Promise<Either.Either<Fault, MemberConnection>>;

type ProberState = Readonly<{
  runtime: Runtime;
  dialect: Dialect;
  tenant: string;
  open: Map<string, Readonly<{ address: string; connection: MemberConnection }>>;
  /** Connections being opened. Concurrent callers share one, because a second connection would never be closed. */
  opening: Map<string, Readonly<{ address: string; connection: PendingConnection }>>;
}>;

function unreachable(reason: string, remedy: string): Either.Either<Fault, never> {
  return Either.left(fault.create({ kind: 'unreachable', message: reason, remedy }));
}

function isOtherMember(failure: Fault): boolean {
  const condition = memberConnection.conditionOf(failure);
  return Option.isSome(condition) && condition.value === 'wrong-member';
}

/** Another member answers at the address: addresses are reused after a member has ended (design 8.10). */
function replaced({ member, address }: MemberAddress): Fault {
  return fault.create({
    kind: 'departed',
    message: `another member answers at ${address}, the address of ${member}`,
    remedy: 'no action is needed if the member was replaced',
  });
}

function stateReplyLost(member: string): Fault {
  return fault.create({
    kind: 'reply-lost',
    message: `the STATE reply of ${member} was lost`,
    remedy: 'check that the member is running and reachable',
  });
}

function stateNotGiven(member: string, { completion }: StatementReply): Fault {
  return fault.create({
    kind: 'overloaded',
    message: `${member} did not return its STATE: ${completion.kind === 'fault' ? completion.condition : 'the reply cannot be parsed'}`,
    remedy: 'retry shortly',
    retryAfterSeconds: 1,
  });
}

async function openConnection(
  { runtime, dialect, tenant, open, opening }: ProberState,
  place: MemberAddress,
  milliseconds: number,
): PendingConnection {
  const { member, address } = place;
  const opened = await memberConnection.open(runtime, dialect, place, tenant, milliseconds);
  const isStillNeeded = opening.get(member)?.address === address;
  if (isStillNeeded) opening.delete(member);
  if (Either.isLeft(opened)) return isOtherMember(opened.left) ? Either.left(replaced(place)) : opened;
  if (!isStillNeeded) {
    opened.right.close();
    return unreachable(`the address of ${member} changed while connecting`, 'retry');
  }
  open.set(member, { address, connection: opened.right });
  return opened;
}

/** The open connection to a member, or a new one. */
async function connectionTo(prober: ProberState, place: MemberAddress, milliseconds: number): PendingConnection {
  const { open, opening } = prober;
  const { member, address } = place;
  const existing = open.get(member);
  if (existing !== undefined && existing.address === address && !existing.connection.isClosed()) return Either.right(existing.connection);
  existing?.connection.close();
  open.delete(member);
  if (address === '') return unreachable(`no heartbeat has reported the address of ${member}`, 'wait for its next heartbeat');
  const pending = opening.get(member);
  if (pending !== undefined && pending.address === address) return pending.connection;
  const connection = openConnection(prober, place, milliseconds);
  opening.set(member, { address, connection });
  return connection;
}

async function readStatus(prober: ProberState, place: MemberAddress, milliseconds: number): Promise<Either.Either<Fault, MemberStatus>> {
  const { dialect } = prober;
  const connection = await connectionTo(prober, place, milliseconds);
  if (Either.isLeft(connection)) return connection;
  const outcome = await connection.right.run([dialect.query(dialect.internalIdentifier, dialect.statements.state)], milliseconds);
  const reply = outcome.replies[0];
  if (!outcome.isComplete || reply === undefined) {
    connection.right.reset();
    return Either.left(stateReplyLost(place.member));
  }
  const status = reply.completion.kind === 'done' ? dialect.memberStatus(reply.rows) : Option.none;
  return Option.isSome(status) ? Either.right(status.value) : Either.left(stateNotGiven(place.member, reply));
}

/** @param tenant - the tenant name that identifies the pooler's own connections to members */
function create(runtime: Runtime, dialect: Dialect, tenant: string): MemberProber {
  const prober: ProberState = { runtime, dialect, tenant, open: new Map(), opening: new Map() };
  return {
    readStatus: (service, member, address, milliseconds) => readStatus(prober, { service, member, address }, milliseconds),
    ensureConnection: async function ensureConnection(service, member, address, milliseconds) {
      const connection = await connectionTo(prober, { service, member, address }, milliseconds);
      return Either.isLeft(connection) ? connection : Either.right(null);
    },
  };
}

export const memberProber = { create } as const;
