/** Assembles the messages of a member into replies (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Completion, Dialect, ReplyMessage, StatementReply } from './dialect.js';

/** @internal */
export type ReplyAssembly = Readonly<{
  /** Adds one message. An opening is answered by `ready` alone, a query always by a completion first. */
  addMessage: (message: string, isOpening: boolean) => AssemblyStep;
  /** The reply whose `ready` has not arrived, such as a rejected opening: a fault followed by a close; none when there is no completion. */
  unfinished: () => Option.Option<StatementReply>;
}>;

/** The result of adding one message. @internal */
export type AssemblyStep =
  | Readonly<{ kind: 'partial' }>
  | Readonly<{ kind: 'reply'; reply: StatementReply }>
  /** The message violates the protocol: the connection must be reset. */
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

  function addCompletion(parsed: Extract<ReplyMessage, { kind: 'completion' }>): AssemblyStep {
    if (completion !== undefined) return violation;
    completion = parsed.completion;
    return incomplete;
  }

  function addMessage(message: string, isOpening: boolean): AssemblyStep {
    const parsed = dialect.parseReply(message);
    if (parsed.kind === 'unreadable') return violation;
    if (parsed.kind === 'completion') return addCompletion(parsed);
    if (parsed.kind === 'row') {
      rows.push(parsed.raw);
      return incomplete;
    }
    // `ready` without a completion is not a reply to a query.
    if (isOpening !== (completion === undefined)) return violation;
    return { kind: 'reply', reply: complete(parsed) };
  }

  function unfinished(): Option.Option<StatementReply> {
    if (completion === undefined) return Option.none;
    return Option.some({ rows, completion, transactionStatus: 'idle', position: Option.none });
  }

  return { addMessage, unfinished };
}

/** @internal */
export const replyAssembly = { create } as const;
