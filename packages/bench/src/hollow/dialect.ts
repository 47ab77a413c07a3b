/** A plain dialect of the session wire for hollow runs: words with blanks between, a message a line (design 8.10). */
import * as Option from 'fp-ts/lib/Option.js';
import type {
  Command,
  Condition,
  Dialect,
  Framer,
  Incoming,
  MemberStatus,
  Piece,
  Position,
  TransactionStatus,
} from '@stallstall/session-protocol';

const statuss: readonly TransactionStatus[] = ['idle', 'open', 'failed'];

function framer(mostBytes: number): Framer {
  let rest = '';
  return {
    push: function push(piece) {
      const messages = (rest + piece).split('\n');
      rest = messages.pop() ?? '';
      return { messages, oversize: rest.length > mostBytes || messages.some((message) => message.length > mostBytes) };
    },
  };
}

function shown(position: Position): string {
  return `${position.term}.${position.number}`;
}

function position(text: string): Option.Option<Position> {
  const found = /^(\d+)\.(\d+)$/.exec(text);
  return found === null ? Option.none : Option.some({ term: Number(found[1]), number: Number(found[2]) });
}

function command(text: string): Option.Option<Command> {
  const [word = ''] = text.split(' ', 1);
  if (word === 'begin') return Option.some({ kind: 'begin', readOnly: false });
  if (word === 'commit' || word === 'rollback' || word === 'read' || word === 'write') return Option.some({ kind: word });
  return Option.none;
}

function incoming(message: string): Incoming {
  const [word, first = '', ...others] = message.split(' ');
  if (word === 'open') return { kind: 'open', database: first, key: others[0] ?? '' };
  if (word === 'query') return { kind: 'query', identifier: first, text: others.join(' '), command: command(others.join(' ')) };
  return word === 'close' ? { kind: 'close' } : { kind: 'unreadable' };
}

function rest(status: TransactionStatus, at: Option.Option<Position>): string {
  return `rest ${status} ${Option.isSome(at) ? shown(at.value) : '-'}\n`;
}

function piece(message: string): Piece {
  const [word, first = '', ...others] = message.split(' ');
  if (word === 'row') return { kind: 'row', raw: message };
  if (word === 'done') return { kind: 'completion', completion: { kind: 'done', stamp: first } };
  if (word === 'fault') return { kind: 'completion', completion: { kind: 'fault', condition: first as Condition, text: others.join(' ') } };
  const status = statuss.find((one) => one === first);
  return word === 'rest' && status !== undefined
    ? { kind: 'rest', transactionStatus: status, position: position(others[0] ?? '') }
    : { kind: 'unreadable' };
}

/** row ROLE TERM RECEIVED */
function standing(rows: readonly string[]): Option.Option<MemberStatus> {
  const [, role, term, received = ''] = (rows[0] ?? '').split(' ');
  const at = position(received);
  if ((role !== 'primary' && role !== 'replica') || Option.isNone(at)) return Option.none;
  return Option.some({ role, term: Number(term), received: at.value, lagMilliseconds: 0 });
}

export const plainDialect: Dialect = {
  framer,
  incoming,
  reply: function reply(of) {
    const ending =
      of.completion.kind === 'done' ? `done ${of.completion.stamp}\n` : `fault ${of.completion.condition} ${of.completion.text}\n`;
    return `${of.rows.map((row) => `${row}\n`).join('')}${ending}${rest(of.transactionStatus, of.position)}`;
  },
  idle: rest,
  fault: (condition, text) => `fault ${condition} ${text}\n`,
  opening: (service, tenant, member) => `open ${service} ${tenant} ${member}\n`,
  query: (identifier, text) => `query ${identifier} ${text}\n`,
  closing: () => 'close\n',
  piece,
  texts: {
    begin: () => 'begin',
    commit: 'commit',
    rollback: 'rollback',
    clear: 'clear',
    state: 'state',
    since: (at, text) => `since ${shown(at)} ${text}`,
    set: (name, value) => `set ${name} ${value}`,
    prepare: (name, _writes, shape) => `prepare ${name} ${shape}`,
    execute: (name, given) => `execute ${name} ${given}`,
  },
  ownIdentifier: '-',
  memberStatus: standing,
};
