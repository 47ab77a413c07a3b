/** One connection to a member, one task that reads it: what is asked is replied in order (design 8.10). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault, type Kernel, type Stream } from '@stallstall/kernel';
import type { Condition, Dialect, Ending, StatementReply } from './dialect.js';

export type MemberPlace = Readonly<{ service: string; member: string; address: string }>;

/** What came of queries: `whole` when every one was replied, else the line is broken behind the last reply. */
export type Ran = Readonly<{ replies: readonly StatementReply[]; whole: boolean }>;

export type MemberLine = Readonly<{
  /** Sends the queries in one piece and waits for as many replies, for so long at the most; after that the line is of no use. */
  run: (queries: readonly string[], milliseconds: number) => Promise<Ran>;
  close: () => void;
  /** Breaks it off at once: the member rolls back what is open on it. */
  reset: () => void;
  closed: () => boolean;
}>;

type Waiting = {
  readonly kind: 'opening' | 'queries';
  readonly replies: StatementReply[];
  readonly wanted: number;
  readonly settle: (whole: boolean) => void;
};

const longestMessage = 2 * 1024 * 1024;

/** The condition that a member's denial of an opening names, for those who see the fault. */
function conditionOf(error: Fault): Option.Option<Condition> {
  const known = fault.details(error).details as Readonly<{ condition?: Condition }> | undefined;
  return Option.fromNullable(known?.condition);
}

/** A line that asks for its opening first. */
type OpeningLine = MemberLine & Readonly<{ opened: (opening: string, milliseconds: number) => Promise<Ran> }>;

function lineOver(kernel: Kernel, dialect: Dialect, stream: Stream): OpeningLine {
  const framer = dialect.framer(longestMessage);
  let waiting: Waiting | undefined;
  let rows: string[] = [];
  let ending: Ending | undefined;
  let broken = false;

  function over(): void {
    if (broken) return;
    broken = true;
    stream.reset();
    const current = waiting;
    waiting = undefined;
    current?.settle(false);
  }

  /** False when it fits nowhere. */
  function take(message: string): boolean {
    const piece = dialect.piece(message);
    if (piece.kind === 'unreadable' || waiting === undefined) return false;
    if (piece.kind === 'row') rows.push(piece.raw);
    else if (piece.kind === 'ending') {
      if (ending !== undefined) return false;
      ending = piece.ending;
    } else {
      // An opening is replied by rest alone, a query never: rest by itself is then no reply to it but a stray one.
      if ((waiting.kind === 'opening') !== (ending === undefined)) return false;
      waiting.replies.push({ rows, ending: ending ?? { kind: 'done', stamp: '' }, stance: piece.stance, position: piece.position });
      rows = [];
      ending = undefined;
      if (waiting.replies.length === waiting.wanted) {
        const current = waiting;
        waiting = undefined;
        current.settle(true);
      }
    }
    return true;
  }

  async function task(): Promise<void> {
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      const { messages, oversize } = framer.push(piece.value);
      if (oversize || !messages.every(take)) break;
    }
    // A denied opening is a fault and a close.
    if (waiting !== undefined && ending !== undefined) waiting.replies.push({ rows, ending, stance: 'idle', position: Option.none });
    over();
  }

  function exchange(kind: Waiting['kind'], queries: readonly string[], milliseconds: number): Promise<Ran> {
    return new Promise((resolve) => {
      if (broken || waiting !== undefined) {
        resolve({ replies: [], whole: false });
        return;
      }
      const timer = kernel.clock.startTimer(Math.max(1, milliseconds), over);
      const replies: StatementReply[] = [];
      waiting = {
        kind,
        replies,
        wanted: queries.length,
        settle: function settle(whole) {
          timer.cancel();
          resolve({ replies, whole });
        },
      };
      stream.write(queries.join(''));
    });
  }

  void task();
  return {
    opened: (opening, milliseconds) => exchange('opening', [opening], milliseconds),
    run: (queries, milliseconds) => exchange('queries', queries, milliseconds),
    reset: over,
    close: function close() {
      if (broken) return;
      // With a question open it is no orderly end: whoever waits is told so, and the member rolls back.
      if (waiting !== undefined) return over();
      stream.write(dialect.closing());
      broken = true;
      stream.close();
    },
    closed: () => broken || stream.closed(),
  };
}

/** Opens a connection for a tenant, naming the member that is expected: addresses are used again (design 8.10). */
async function open(
  kernel: Kernel,
  dialect: Dialect,
  place: MemberPlace,
  tenant: string,
  milliseconds: number,
): Promise<Either.Either<Fault, MemberLine>> {
  const until = kernel.clock.now() + milliseconds;
  const stream = await kernel.network.openStream(identifiers.address(place.address), milliseconds);
  if (Either.isLeft(stream)) return stream;
  const line = lineOver(kernel, dialect, stream.right);
  const ran = await line.opened(dialect.opening(place.service, tenant, place.member), Math.max(1, until - kernel.clock.now()));
  const reply = ran.replies[0];
  if (ran.whole && reply?.ending.kind === 'done') return Either.right(line);
  line.reset();
  const condition = reply?.ending.kind === 'fault' ? reply.ending.condition : undefined;
  return Either.left(
    fault.create({
      kind: 'unreachable',
      message: `${place.member} opened no connection${condition === undefined ? '' : `: ${condition}`}`,
      remedy: 'see whether it runs and can be reached',
      details: { condition },
    }),
  );
}

export const lines = { open, conditionOf } as const;
