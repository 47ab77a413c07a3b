/** A connection to a member with one reading task; queries are answered in order (design 8.10). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { byteText, fault, identifiers, type Fault, type Runtime, type Stream } from '@stallstall/kernel';
import type { Condition, Dialect, StatementReply } from './dialect.js';
import { replyAssembly, type ReplyAssembly } from './reply-assembly.js';

/** A member and the network address at which it can be reached. */
export type MemberAddress = Readonly<{ service: string; member: string; address: string }>;

/** The replies to a batch of queries; if not `isComplete`, the connection broke after the last reply. */
export type QueryOutcome = Readonly<{ replies: readonly StatementReply[]; isComplete: boolean }>;

export type MemberConnection = Readonly<{
  /** Sends the queries in one batch and waits for all replies; after the timeout the connection is reset. */
  run: (queries: readonly string[], milliseconds: number) => Promise<QueryOutcome>;
  /** Closes the connection gracefully; if queries are in flight, resets it instead. */
  close: () => void;
  /** Resets the connection immediately; the member rolls back an open transaction. */
  reset: () => void;
  isClosed: () => boolean;
}>;

/** The queries in flight and the replies received so far. */
type Exchange = Readonly<{
  kind: 'opening' | 'queries';
  replies: StatementReply[];
  expected: number;
  finish: (isComplete: boolean) => void;
}>;

type ConnectionState = {
  readonly runtime: Runtime;
  readonly dialect: Dialect;
  readonly stream: Stream;
  readonly assembly: ReplyAssembly;
  exchange: Exchange | undefined;
  isBroken: boolean;
};

const maximumMessageBytes = 2 * 1024 * 1024;

/** The condition with which the member rejected the opening of a connection, taken from the fault of `open`. */
function conditionOf(error: Fault): Option.Option<Condition> {
  const details = fault.details(error).details as Readonly<{ condition?: Condition }> | undefined;
  return Option.fromNullable(details?.condition);
}

function finishExchange(connection: ConnectionState, isComplete: boolean): void {
  const { exchange } = connection;
  connection.exchange = undefined;
  exchange?.finish(isComplete);
}

function reset(connection: ConnectionState): void {
  if (connection.isBroken) return;
  connection.isBroken = true;
  connection.stream.reset();
  finishExchange(connection, false);
}

/** Returns false when the message violates the protocol. */
function handleMessage(connection: ConnectionState, message: string): boolean {
  const { exchange, assembly } = connection;
  if (exchange === undefined) return false;
  const step = assembly.addMessage(message, exchange.kind === 'opening');
  if (step.kind === 'violation') return false;
  if (step.kind === 'partial') return true;
  exchange.replies.push(step.reply);
  if (exchange.replies.length === exchange.expected) finishExchange(connection, true);
  return true;
}

async function readMessages(connection: ConnectionState): Promise<void> {
  const framer = connection.dialect.framer(maximumMessageBytes);
  for (;;) {
    const chunk = await connection.stream.read();
    if (Option.isNone(chunk)) return;
    const { messages, oversize } = framer.push(chunk.value);
    if (oversize || !messages.every((message) => handleMessage(connection, message))) return;
  }
}

async function readUntilBroken(connection: ConnectionState): Promise<void> {
  await readMessages(connection);
  const unfinished = connection.assembly.unfinished();
  if (connection.exchange !== undefined && Option.isSome(unfinished)) connection.exchange.replies.push(unfinished.value);
  reset(connection);
}

function send(
  connection: ConnectionState,
  kind: Exchange['kind'],
  queries: readonly string[],
  milliseconds: number,
): Promise<QueryOutcome> {
  if (connection.isBroken || connection.exchange !== undefined) return Promise.resolve({ replies: [], isComplete: false });
  return new Promise(function exchangeQueries(resolve) {
    const replies: StatementReply[] = [];
    const timer = connection.runtime.clock.startTimer(Math.max(1, milliseconds), () => reset(connection));
    connection.exchange = {
      kind,
      replies,
      expected: queries.length,
      finish: function finishWaiting(isComplete) {
        timer.cancel();
        resolve({ replies, isComplete });
      },
    };
    connection.stream.write(queries.join(''));
  });
}

function close(connection: ConnectionState): void {
  if (connection.isBroken) return;
  // With queries in flight a graceful close is not possible: the caller gets an incomplete outcome and the member rolls back.
  if (connection.exchange !== undefined) return reset(connection);
  connection.stream.write(connection.dialect.closing());
  connection.isBroken = true;
  connection.stream.close();
}

function openFailure(member: string, condition: Condition | undefined): Fault {
  return fault.create({
    kind: 'unreachable',
    message: `${member} did not accept the connection${condition === undefined ? '' : `: ${condition}`}`,
    remedy: 'check that the member is running and reachable',
    details: { condition },
  });
}

/**
 * Opens a connection for a tenant. The opening message names the expected member, because addresses are reused (design 8.10). Errors:
 * `unreachable`, with the member's condition in its details, and network errors.
 */
async function open(
  runtime: Runtime,
  dialect: Dialect,
  place: MemberAddress,
  tenant: string,
  milliseconds: number,
): Promise<Either.Either<Fault, MemberConnection>> {
  const deadline = runtime.clock.now() + milliseconds;
  const stream = await runtime.network.openStream(identifiers.address(place.address), milliseconds);
  if (Either.isLeft(stream)) return stream;
  const connection: ConnectionState = {
    runtime,
    dialect,
    stream: stream.right,
    assembly: replyAssembly.create(dialect),
    exchange: undefined,
    isBroken: false,
  };
  void readUntilBroken(connection);
  const opening = dialect.opening(byteText.encode(place.service), byteText.encode(tenant), byteText.encode(place.member));
  const outcome = await send(connection, 'opening', [opening], deadline - runtime.clock.now());
  const completion = outcome.replies[0]?.completion;
  if (!outcome.isComplete || completion?.kind !== 'done') {
    reset(connection);
    return Either.left(openFailure(place.member, completion?.kind === 'fault' ? completion.condition : undefined));
  }
  return Either.right({
    run: (queries, timeout) => send(connection, 'queries', queries, timeout),
    reset: () => reset(connection),
    close: () => close(connection),
    isClosed: () => connection.isBroken || connection.stream.closed(),
  });
}

export const memberConnection = { open, conditionOf } as const;
