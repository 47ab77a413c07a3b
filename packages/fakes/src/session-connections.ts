/** The connections of a stand-in member: one task for each, which opens it and runs its statements one after another. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Stream } from '@stallstall/kernel';
import type { Condition, TransactionStatus } from '@stallstall/session-protocol';
import { nextNumber, type MemberConnection, type MemberParts, type Outcome } from './member-parts.js';
import { plainDialect, plainWords } from './session-dialect.js';
import { sessionStatements } from './session-statements.js';

export type SessionConnections = Readonly<{
  serve: (stream: Stream) => Promise<void>;
  count: () => number;
  /** The most that stood at once. */
  peak: () => number;
  /** How many are in a transaction. */
  transactions: () => number;
}>;

const longestMessage = 2_000_000;
/** Of the replies that are lost, so many are lost with their connection. */
const brokenShare = 0.5;

/** Whether the reply to a statement is to be lost. */
function isLost({ knobs }: MemberParts, text: string, outcome: Outcome, wasOpen: boolean): boolean {
  if ('condition' in outcome || outcome.stamp === sessionStatements.noStamp) return false;
  if (knobs.loseReplies > 0) {
    knobs.loseReplies -= 1;
    return true;
  }
  const commits = text === 'commit' || (!wasOpen && outcome.rows === undefined);
  if (!commits || knobs.loseCommits === 0) return false;
  knobs.loseCommits -= 1;
  return true;
}

/** What stands against an opening. */
function openingFault({ settings }: MemberParts, word: string, service: string, member: string, count: number): Condition | undefined {
  if (word !== 'hello') return 'malformed';
  if (service !== settings.service || (member !== '' && member !== settings.member)) return 'wrong-member';
  return count > settings.connectionLimit ? 'overloaded' : undefined;
}

function transactionStatus({ transaction }: MemberConnection): TransactionStatus {
  if (Option.isNone(transaction)) return 'idle';
  return transaction.value.failed ? 'failed' : 'open';
}

/** The first message of a connection; false when the connection is to be closed. */
async function open(parts: MemberParts, connection: MemberConnection, stream: Stream, message: string, count: number): Promise<boolean> {
  const { settings, slots, log } = parts;
  const [word, rest] = plainWords.cut(message);
  const [service, who] = plainWords.cut(rest);
  const [tenant, member] = plainWords.cut(who);
  const fault = openingFault(parts, word, service, member, count);
  if (fault !== undefined) {
    stream.write(plainDialect.fault(fault, settings.member));
    return false;
  }
  connection.tenant = tenant;
  if (Option.isNone(await slots.run(settings.openMilliseconds, () => null))) {
    stream.write(plainDialect.fault('saturated', settings.member));
    return false;
  }
  stream.write(plainDialect.ready('idle', Option.some(log.applied())));
  return true;
}

type Replied = 'goes-on' | 'broken' | 'stopped';

async function reply(parts: MemberParts, connection: MemberConnection, stream: Stream, message: string): Promise<Replied> {
  const { runtime, settings, log } = parts;
  const [, rest] = plainWords.cut(message);
  const [identifier, text] = plainWords.cut(rest);
  const wasOpen = Option.isSome(connection.transaction);
  const outcome = await sessionStatements.run(parts, connection, identifier, text);
  if (parts.stopped()) return 'stopped';
  if ('condition' in outcome && Option.isSome(connection.transaction)) connection.transaction.value.failed = true;
  // A lost reply leaves the connection broken, or open and silent.
  if (isLost(parts, text, outcome, wasOpen)) return runtime.randomness.fraction() < brokenShare ? 'broken' : 'goes-on';
  stream.write(
    plainDialect.reply({
      rows: 'condition' in outcome ? [] : (outcome.rows ?? []),
      completion:
        'condition' in outcome
          ? { kind: 'fault', condition: outcome.condition, text: settings.member }
          : { kind: 'done', stamp: outcome.stamp },
      transactionStatus: transactionStatus(connection),
      position: Option.some(log.applied()),
    }),
  );
  return 'goes-on';
}

function create(parts: MemberParts): SessionConnections {
  const connections = new Set<MemberConnection>();
  let peak = 0;

  async function handle(connection: MemberConnection, stream: Stream, message: string): Promise<Replied> {
    if (plainWords.cut(message)[0] === 'bye') return 'broken';
    if (connection.tenant !== '') return reply(parts, connection, stream, message);
    return (await open(parts, connection, stream, message, connections.size)) ? 'goes-on' : 'broken';
  }

  async function read(connection: MemberConnection, stream: Stream): Promise<Replied> {
    const framer = plainDialect.framer(longestMessage);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) return 'broken';
      for (const message of framer.push(piece.value).messages) {
        const replied = await handle(connection, stream, message);
        if (replied !== 'goes-on') return replied;
      }
    }
  }

  async function serve(stream: Stream): Promise<void> {
    const connection: MemberConnection = {
      number: nextNumber(),
      tenant: '',
      values: new Map(),
      prepared: new Map(),
      transaction: Option.none,
    };
    connections.add(connection);
    peak = Math.max(peak, connections.size);
    if ((await read(connection, stream)) === 'stopped') return;
    // What was open is rolled back.
    connections.delete(connection);
    stream.close();
  }

  return {
    serve,
    count: () => connections.size,
    peak: () => peak,
    transactions: () => [...connections].filter((connection) => Option.isSome(connection.transaction)).length,
  };
}

export const sessionConnections = { create } as const;
