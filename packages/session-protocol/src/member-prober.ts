/** STATE of members, over one connection to each that stays open (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import type { Dialect, MemberStatus, StatementReply } from './dialect.js';
import { memberConnection, type MemberAddress, type MemberConnection } from './member-connection.js';

export type MemberProber = Readonly<{
  /**
   * Keeps a connection open without asking anything: that it breaks, and that another is refused, tells of the member's end at once.
   * Errors: those of `memberConnection.open`.
   */
  ensureConnection: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, null>>;
  /** Errors: `reply-lost`, `overloaded` when the member gives no STATE, and those of `memberConnection.open`. */
  readStatus: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberStatus>>;
}>;

type PendingConnection = Promise<Either.Either<Fault, MemberConnection>>;

type ProberState = Readonly<{
  runtime: Runtime;
  dialect: Dialect;
  tenant: string;
  open: Map<string, Readonly<{ address: string; connection: MemberConnection }>>;
  /** Callers that arrive while a connection is being opened share it: a second one would be kept by nobody. */
  opening: Map<string, Readonly<{ address: string; connection: PendingConnection }>>;
}>;

function unreachable(reason: string, remedy: string): Either.Either<Fault, never> {
  return Either.left(fault.create({ kind: 'unreachable', message: reason, remedy }));
}

function stateReplyLost(member: string): Fault {
  return fault.create({
    kind: 'reply-lost',
    message: `the STATE of ${member} was lost`,
    remedy: 'see whether it runs and can be reached',
  });
}

function stateNotGiven(member: string, { completion }: StatementReply): Fault {
  return fault.create({
    kind: 'overloaded',
    message: `${member} gave no STATE: ${completion.kind === 'fault' ? completion.condition : 'nothing that can be read'}`,
    remedy: 'ask again shortly',
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
  const isWanted = opening.get(member)?.address === address;
  if (isWanted) opening.delete(member);
  if (Either.isLeft(opened)) return opened;
  if (!isWanted) {
    opened.right.close();
    return unreachable(`${member} has moved meanwhile`, 'ask again');
  }
  open.set(member, { address, connection: opened.right });
  return opened;
}

/** The open connection to a member, or one that is opened now. */
async function connectionTo(prober: ProberState, place: MemberAddress, milliseconds: number): PendingConnection {
  const { open, opening } = prober;
  const { member, address } = place;
  const known = open.get(member);
  if (known !== undefined && known.address === address && !known.connection.isClosed()) return Either.right(known.connection);
  known?.connection.close();
  open.delete(member);
  if (address === '') return unreachable(`no beat has told where ${member} is`, 'wait for its beat');
  const underWay = opening.get(member);
  if (underWay !== undefined && underWay.address === address) return underWay.connection;
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

/** @param tenant - who the product is to members when it asks for itself */
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
