/** A client's connection of the session wire: it sends a text and waits for its reply. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime, type Stream } from '@stallstall/kernel';
import type { Condition, Completion, StatementReply } from '@stallstall/session-protocol';
import { plainDialect } from './session-dialect.js';

export type SessionLine = Readonly<{
  /** Sends a text and waits for its reply. */
  query: (identifier: string, text: string, milliseconds: number) => Promise<Option.Option<StatementReply>>;
  close: () => void;
  reset: () => void;
  closed: () => boolean;
}>;

const openMilliseconds = 2_000;
const longestMessage = 2_000_000;

/** An open session, or why there is none. */
export type Opened = Readonly<{ line: SessionLine }> | Readonly<{ outcome: Condition | 'cut' | 'silent' }>;

/** A line, and its next reply within so many milliseconds. */
type ReadingLine = SessionLine & Readonly<{ next: (milliseconds: number) => Promise<Option.Option<StatementReply>> }>;

/** The replies that have come over a stream, put together from their pieces. */
type Replies = Readonly<{
  accept: (message: string) => void;
  /** The stream has ended: a rejected opening is a fault and a close. */
  end: () => void;
  shift: () => StatementReply | undefined;
  isEmpty: () => boolean;
}>;

function createReplies(): Replies {
  const replies: StatementReply[] = [];
  let rows: string[] = [];
  let ending: Completion | undefined;

  return {
    accept: function accept(message) {
      const piece = plainDialect.parseReply(message);
      if (piece.kind === 'row') rows.push(piece.raw);
      else if (piece.kind === 'completion') ending = piece.completion;
      else if (piece.kind === 'ready') {
        replies.push({
          rows,
          completion: ending ?? { kind: 'done', stamp: '' },
          transactionStatus: piece.transactionStatus,
          position: piece.position,
        });
        rows = [];
        ending = undefined;
      }
    },
    end: function end() {
      if (ending !== undefined) replies.push({ rows: [], completion: ending, transactionStatus: 'idle', position: Option.none });
    },
    shift: () => replies.shift(),
    isEmpty: () => replies.length === 0,
  };
}

/** A session as a client's program would hold it. */
function lineOver(runtime: Runtime, stream: Stream): ReadingLine {
  const framer = plainDialect.framer(longestMessage);
  const replies = createReplies();
  let over = false;
  let waiting: (() => void) | undefined;

  async function task(): Promise<void> {
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      framer.push(piece.value).messages.forEach(replies.accept);
      if (!replies.isEmpty()) waiting?.();
    }
    replies.end();
    over = true;
    waiting?.();
  }

  async function next(milliseconds: number): Promise<Option.Option<StatementReply>> {
    if (replies.isEmpty() && !over) {
      await new Promise<void>((resolve) => {
        waiting = resolve;
        runtime.clock.startTimer(milliseconds, resolve);
      });
      waiting = undefined;
    }
    return Option.fromNullable(replies.shift());
  }

  void task();
  return {
    next,
    query: function query(identifier, text, milliseconds) {
      if (!over) stream.write(plainDialect.query(identifier, text));
      return next(milliseconds);
    },
    close: function close() {
      stream.write(plainDialect.closing());
      stream.close();
    },
    reset: stream.reset,
    closed: () => over,
  };
}

/** Opens a session at an edge, or tells why there is none. */
async function open(runtime: Runtime, address: string, database: string, who: string): Promise<Opened> {
  const stream = await runtime.network.openStream(identifiers.address(address), openMilliseconds);
  if (Either.isLeft(stream)) return { outcome: 'cut' };
  const line = lineOver(runtime, stream.right);
  stream.right.write(`hello ${database} ${who}\n`);
  const reply = await line.next(openMilliseconds);
  if (Option.isSome(reply) && reply.value.completion.kind === 'done') return { line };
  const outcome = Option.isNone(reply)
    ? line.closed()
      ? 'cut'
      : 'silent'
    : (reply.value.completion as Extract<Completion, { kind: 'fault' }>).condition;
  line.reset();
  return { outcome };
}

export const sessionLines = { open } as const;
