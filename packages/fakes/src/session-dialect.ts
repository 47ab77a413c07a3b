/** The stand-ins' own words for the session wire: plain lines, so that the product is shown to need no platform's (design 10.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type {
  Command,
  Condition,
  Dialect,
  Framer,
  ClientMessage,
  MemberStatus,
  ReplyMessage,
  Position,
  TransactionStatus,
  StatementReply,
} from '@stallstall/session-protocol';

const conditions: ReadonlySet<string> = new Set<Condition>([
  'saturated',
  'aborted',
  'lagging',
  'read-only',
  'wrong-member',
  'overloaded',
  'outcome-unknown',
  'expired',
  'failed',
  'undefined',
  'denied',
  'no-database',
  'oversize',
  'malformed',
]);
const statuss: ReadonlySet<string> = new Set<TransactionStatus>(['idle', 'open', 'failed']);

/** The first word and what follows it. */
function cut(text: string): readonly [string, string] {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

function framer(mostBytes: number): Framer {
  let rest = '';
  return {
    push: function push(piece) {
      const parts = (rest + piece).split('\n');
      rest = parts.pop() ?? '';
      const tooLong = parts.findIndex((message) => message.length > mostBytes);
      return { messages: tooLong < 0 ? parts : parts.slice(0, tooLong), oversize: tooLong >= 0 || rest.length > mostBytes };
    },
    hasPartial: () => rest !== '',
  };
}

function position(text: string): Option.Option<Position> {
  const found = /^(\d+)\/(\d+)$/.exec(text);
  return found === null ? Option.none : Option.some({ term: Number(found[1]), number: Number(found[2]) });
}

function shown(of: Position): string {
  return `${of.term}/${of.number}`;
}

function command(text: string): Option.Option<Command> {
  const [word, rest] = cut(text);
  const [name, given] = cut(rest);
  if (text === 'begin' || text === 'begin reading') return Option.some({ kind: 'begin', readOnly: rest !== '' });
  if (text === 'commit' || text === 'rollback') return Option.some({ kind: text });
  if (name === '') return Option.none;
  if (word === 'get') return Option.some({ kind: 'read' });
  if (word === 'put') return Option.some({ kind: 'write' });
  if (word === 'set') return Option.some({ kind: 'set', name, value: given });
  if (word === 'forget') return Option.some({ kind: 'forget', name });
  if (word === 'execute') return given === '' ? Option.none : Option.some({ kind: 'execute', name, parameters: given });
  if (word !== 'prepare') return Option.none;
  const [verb, shape] = cut(given);
  return (verb === 'get' || verb === 'put') && shape !== ''
    ? Option.some({ kind: 'prepare', name, writes: verb === 'put', statement: shape })
    : Option.none;
}

function incoming(message: string): ClientMessage {
  const [word, rest] = cut(message);
  const [first, second] = cut(rest);
  if (message === 'bye') return { kind: 'close' };
  if (word === 'hello' && first !== '' && second !== '') return { kind: 'open', database: first, key: second };
  if (word === 'ask' && first !== '')
    return { kind: 'query', identifier: first, text: second, command: first === ownIdentifier ? Option.none : command(second) };
  return { kind: 'unreadable' };
}

function rest(status: TransactionStatus, at: Option.Option<Position>): string {
  return `at ${status} ${Option.isSome(at) ? shown(at.value) : 'nowhere'}\n`;
}

function faultLine(condition: Condition, text: string): string {
  return `no ${condition} ${text}\n`;
}

function reply(of: StatementReply): string {
  const ending =
    of.completion.kind === 'done'
      ? `yes ${of.completion.stamp}${of.cachedAt === undefined ? '' : ` copied ${of.cachedAt}`}\n`
      : faultLine(of.completion.condition, of.completion.text);
  return `${of.rows.map((row) => `${row}\n`).join('')}${ending}${rest(of.transactionStatus, of.position)}`;
}

function piece(message: string): ReplyMessage {
  const [word, fields] = cut(message);
  const [first, second] = cut(fields);
  if (word === 'row') return { kind: 'row', raw: message };
  if (word === 'yes') return { kind: 'completion', completion: { kind: 'done', stamp: fields } };
  if (word === 'no' && conditions.has(first))
    return { kind: 'completion', completion: { kind: 'fault', condition: first as Condition, text: second } };
  if (word === 'at' && statuss.has(first))
    return { kind: 'ready', transactionStatus: first as TransactionStatus, position: position(second) };
  return { kind: 'unreadable' };
}

/** row role term received lag. */
function standing(rows: readonly string[]): Option.Option<MemberStatus> {
  const [, role, term, received, lag] = (rows[0] ?? '').split(' ');
  const at = position(received ?? '');
  if ((role !== 'primary' && role !== 'replica') || Option.isNone(at)) return Option.none;
  return Option.some({ role, term: Number(term), received: at.value, lagMilliseconds: Number(lag) });
}

const ownIdentifier = 'own';

export const plainDialect: Dialect = {
  framer,
  parseRequest: incoming,
  reply,
  ready: rest,
  fault: faultLine,
  parseReply: piece,
  internalIdentifier: ownIdentifier,
  memberStatus: standing,
  opening: (service, tenant, member) => `hello ${service} ${tenant} ${member}\n`,
  query: (identifier, text) => `ask ${identifier} ${text}\n`,
  closing: () => 'bye\n',
  statements: {
    begin: (readOnly) => (readOnly ? 'begin reading' : 'begin'),
    commit: 'commit',
    rollback: 'rollback',
    clear: 'clear',
    state: 'state',
    atPosition: (at, text) => `since ${shown(at)} ${text}`,
    set: (name, value) => `set ${name} ${value}`,
    prepare: (name, writes, shape) => `prepare ${name} ${writes ? 'put' : 'get'} ${shape}`,
    execute: (name, given) => `execute ${name} ${given}`,
  },
};

export const plainWords = { cut, position, shown, command } as const;
