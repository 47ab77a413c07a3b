/** Puts the pieces that a member sends together to replies (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Completion, Dialect, ReplyMessage, StatementReply } from './dialect.js';

/** @internal */
export type ReplyAssembly = Readonly<{
  /** Takes one message. An opening is answered by rest alone, a query never. */
  addMessage: (message: string, isOpening: boolean) => AssemblyStep;
  /** A rejected opening is a fault and a close, with no rest behind it; none where nothing has arrived. */
  unfinished: () => Option.Option<StatementReply>;
}>;

/** What came of one message. @internal */
export type AssemblyStep =
  | Readonly<{ kind: 'partial' }>
  | Readonly<{ kind: 'reply'; reply: StatementReply }>
  /** It fits nowhere: the connection is of no use any more. */
  | Readonly<{ kind: 'violation' }>;

const incomplete: AssemblyStep = { kind: 'partial' };
const violation: AssemblyStep = { kind: 'violation' };

function create(dialect: Dialect): ReplyAssembly {
  let rows: string[] = [];
  let completion: Completion | undefined;

  function complete({ transactionStatus, position }: Extract<ReplyMessage, { kind: 'ready' }>): StatementReply {
    const reply: StatementReply = { rows, completion: completion ?? { kind: 'done', stamp: '' }, transactionStatus, position };
    rows = [];
    completion = undefined;
    return reply;
  }

  function addCompletion(piece: Extract<ReplyMessage, { kind: 'completion' }>): AssemblyStep {
    if (completion !== undefined) return violation;
    completion = piece.completion;
    return incomplete;
  }

  function addMessage(message: string, isOpening: boolean): AssemblyStep {
    const piece = dialect.parseReply(message);
    if (piece.kind === 'unreadable') return violation;
    if (piece.kind === 'completion') return addCompletion(piece);
    if (piece.kind === 'row') {
      rows.push(piece.raw);
      return incomplete;
    }
    // Rest by itself is no reply to a query but a stray one.
    if (isOpening !== (completion === undefined)) return violation;
    return { kind: 'reply', reply: complete(piece) };
  }

  function unfinished(): Option.Option<StatementReply> {
    if (completion === undefined) return Option.none;
    return Option.some({ rows, completion, transactionStatus: 'idle', position: Option.none });
  }

  return { addMessage: addMessage, unfinished };
}

/** @internal */
export const replyAssembly = { create } as const;
