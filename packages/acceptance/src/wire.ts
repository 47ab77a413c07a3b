/** Steps of the stories of wire.feature: both sides of the platform's line wire, and what of it a member gets to hear. */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime, type Stream } from '@stallstall/kernel';
import type { MemberRecord } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { wire } from '@stallstall/platform';
import { pooler } from '@stallstall/pooler';
import { placements } from '@stallstall/placement';
import { world as worlds, type World } from '@stallstall/simulator';
import type { Condition, ClientMessage, ReplyMessage } from '@stallstall/session-protocol';

type WireStory = { world: World; client: Runtime; heard: string[]; said: Array<readonly string[]> };

const mostBytes = 1024 * 1024;

function unshown(text: string): string {
  return text.replaceAll('␠', ' ').replaceAll('␍', '\r').replaceAll('␊', '\n');
}

function messagesOf(table: DataTable): readonly string[] {
  return table.hashes().map((row) => unshown(row['message'] ?? ''));
}

function plain(read: ClientMessage | ReplyMessage): unknown {
  return JSON.parse(
    JSON.stringify(read, (_key, value: unknown) => {
      if (typeof value !== 'object' || value === null || !('_tag' in value)) return value;
      return 'value' in value ? value.value : null;
    }),
  );
}

Then('these messages of senders are read so:', function then(table: DataTable) {
  for (const row of table.hashes())
    assert.deepEqual(plain(wire.parseRequest(unshown(row['message'] ?? ''))), JSON.parse(row['read as'] ?? ''), row['message']);
});

function isLetIn(message: string): boolean {
  const read = wire.parseRequest(message);
  return read.kind === 'query' ? Option.isSome(read.command) : read.kind !== 'unreadable';
}

Then('none of these messages of senders is let in:', function then(table: DataTable) {
  for (const message of messagesOf(table)) assert.equal(isLetIn(message), false, JSON.stringify(message));
});

Then('these messages of members are read so:', function then(table: DataTable) {
  for (const row of table.hashes())
    assert.deepEqual(plain(wire.parseReply(unshown(row['message'] ?? ''))), JSON.parse(row['read as'] ?? ''), row['message']);
});

Then('the wire says what the pages show', function then() {
  const position = { term: 3, number: 43 };
  const shown: ReadonlyArray<readonly [string, string]> = [
    [wire.opening('ferries', 'tenant', 'member-7'), 'OPEN ferries tenant member-7\r\n'],
    [wire.query('ab12', wire.statements.atPosition({ term: 3, number: 41 }, 'READ k77')), 'QUERY ab12 SINCE 3.41 READ k77\r\n'],
    [wire.query(wire.internalIdentifier, wire.statements.state), 'QUERY - STATE\r\n'],
    [wire.query(wire.internalIdentifier, wire.statements.clear), 'QUERY - CLEAR\r\n'],
    [wire.query('-', wire.statements.begin(false)), 'QUERY - BEGIN\r\n'],
    [wire.query('-', wire.statements.begin(true)), 'QUERY - BEGIN READ\r\n'],
    [wire.query('-', wire.statements.commit), 'QUERY - COMMIT\r\n'],
    [wire.query('-', wire.statements.rollback), 'QUERY - REVERT\r\n'],
    [wire.query('-', wire.statements.set('mood', 'two words ')), 'QUERY - SET mood two words \r\n'],
    [wire.query('-', wire.statements.prepare('s1', true, 'shape')), 'QUERY - DEFINE s1 WRITE shape\r\n'],
    [wire.query('-', wire.statements.prepare('s1', false, 'shape')), 'QUERY - DEFINE s1 READ shape\r\n'],
    [wire.query('ab12', wire.statements.execute('s1', 'k77 datadata')), 'QUERY ab12 INVOKE s1 k77 datadata\r\n'],
    [wire.closing(), 'CLOSE\r\n'],
    [wire.ready('idle', Option.none), 'IDLE I -\r\n'],
    [wire.ready('open', Option.some(position)), 'IDLE T 3.43\r\n'],
    [wire.ready('failed', Option.some(position)), 'IDLE E 3.43\r\n'],
    [wire.fault('denied', 'not let in'), 'FAULT DENIED not let in\r\n'],
    [
      wire.reply({
        rows: ['ROW two  gaps ', 'ROW'],
        completion: { kind: 'done', stamp: '4.a2.b.31' },
        transactionStatus: 'idle',
        position: Option.some(position),
      }),
      'ROW two  gaps \r\nROW\r\nDONE 4.a2.b.31\r\nIDLE I 3.43\r\n',
    ],
    [
      wire.reply({
        rows: [],
        completion: { kind: 'fault', condition: 'read-only', text: 'member-7' },
        transactionStatus: 'failed',
        position: Option.some(position),
      }),
      'FAULT READONLY member-7\r\nIDLE E 3.43\r\n',
    ],
  ];
  for (const [said, expected] of shown) assert.equal(said, expected);
});

Then('every condition of the wire is told by its code and read back from it', function then() {
  const codes: Readonly<Record<Condition, string>> = {
    saturated: 'SATURATED',
    aborted: 'ABORTED',
    lagging: 'LAGGING',
    'read-only': 'READONLY',
    'wrong-member': 'WRONGNODE',
    overloaded: 'OVERLOAD',
    'outcome-unknown': 'UNKNOWN',
    expired: 'EXPIRED',
    failed: 'FAILED',
    undefined: 'UNDEFINED',
    denied: 'DENIED',
    'no-database': 'NODB',
    oversize: 'OVERSIZE',
    malformed: 'MALFORMED',
  };
  for (const [condition, code] of Object.entries(codes)) {
    assert.equal(wire.fault(condition as Condition, 'why'), `FAULT ${code} why\r\n`);
    assert.deepEqual(wire.parseReply(`FAULT ${code} why`), { kind: 'completion', completion: { kind: 'fault', condition, text: 'why' } });
  }
});

Then(
  '{string} tells a replica of term {int} that received {int}.{int} and lags {int} ms',
  function then(row: string, term: number, receivedTerm: number, number: number, lag: number) {
    assert.deepEqual(
      wire.memberStatus([row]),
      Option.some({ role: 'replica', term, received: { term: receivedTerm, number }, lagMilliseconds: lag }),
    );
  },
);

Then('none of these rows tells a standing:', function then(table: DataTable) {
  for (const row of messagesOf(table)) assert.ok(Option.isNone(wire.memberStatus([row])), row);
  assert.ok(Option.isNone(wire.memberStatus([])));
});

// -- Framing.

function framed(pieces: readonly string[], most: number = mostBytes): Readonly<{ messages: readonly string[]; oversize: boolean }> {
  const framer = wire.framer(most);
  const messages: string[] = [];
  for (const piece of pieces) {
    const cut = framer.push(piece);
    messages.push(...cut.messages);
    if (cut.oversize) return { messages, oversize: true };
  }
  return { messages, oversize: false };
}

const conversation = ['OPEN harbour key1', 'QUERY ab12 BEGIN', 'QUERY ab13 READ k77', '', 'QUERY ab14 WRITE k77 two words ', 'CLOSE'];

Then('a conversation cut at every place yields the same messages', function then() {
  const text = conversation.map((message) => `${message}\r\n`).join('');
  for (let at = 0; at <= text.length; at += 1)
    assert.deepEqual(framed([text.slice(0, at), text.slice(at)]), { messages: conversation, oversize: false }, `cut at ${at}`);
  assert.deepEqual(framed([...text]), { messages: conversation, oversize: false });
});

Then('{int} seeded cuts of a longer one yield the same messages', function then(count: number) {
  const random = worlds.create(11).fraction;
  const longer = Array.from({ length: 40 }, (_, index) => `QUERY ${index} WRITE k77 ${'x'.repeat(Math.floor(random() * 300))}`);
  const text = longer.map((message) => `${message}\r\n`).join('');
  for (let round = 0; round < count; round += 1) {
    const pieces: string[] = [];
    for (let from = 0; from < text.length;) {
      const to = from + 1 + Math.floor(random() * (round % 2 === 0 ? 9 : 900));
      pieces.push(text.slice(from, to));
      from = to;
    }
    assert.deepEqual(framed(pieces).messages, longer);
  }
});

Then('a message of {int} bytes is taken, whole or cut before and within its line end', function then(bytes: number) {
  const message = `QUERY ab12 WRITE k77 ${'x'.repeat(bytes - 21)}`;
  assert.equal(message.length, bytes);
  for (const pieces of [
    [`${message}\r\n`],
    [message, '\r\n'],
    [`${message}\r`, '\n'],
    [message.slice(0, 9), message.slice(9), '\r', '\n'],
  ]) {
    const taken = framed(pieces, bytes);
    // Not compared as a whole: a failure would print a megabyte.
    assert.ok(
      !taken.oversize && taken.messages.length === 1 && taken.messages[0] === message,
      `${taken.messages.length} messages, oversize: ${taken.oversize}`,
    );
  }
});

Then('one byte more is oversize, with or without its end, and what came before it is handed over', function then() {
  const most = 1_024;
  const longer = 'x'.repeat(most + 1);
  for (const pieces of [
    [`CLOSE\r\n${longer}\r\n`],
    ['CLOSE\r\n', longer],
    ['CLOSE\r\n', longer.slice(0, most), 'x'],
    ['CLOSE\r\n', longer.slice(0, most), '\rx'],
  ]) {
    assert.deepEqual(framed(pieces, most), { messages: ['CLOSE'], oversize: true });
  }
});

// -- Mutated messages, against the grammar written down a second time.

const ofClients = [
  'OPEN harbour key1',
  'QUERY ab12 BEGIN',
  'QUERY ab12 BEGIN READ',
  'QUERY ab12 COMMIT',
  'QUERY ab12 REVERT',
  'QUERY ab12 READ k77',
  'QUERY ab12 WRITE k77 datadata',
  'QUERY ab12 SET mood calm',
  'QUERY ab12 DEFINE s1 WRITE shape',
  'QUERY ab12 INVOKE s1 k77 datadata',
  'QUERY ab12 UNDEFINE s1',
  'CLOSE',
  'QUERY ab12 SINCE 3.41 READ k77',
  'QUERY - STATE',
  'QUERY ab12 PAUSE 4',
  'QUERY ab12 YIELD 4',
  'QUERY ab12 CLEAR',
  'QUERY ab12 CONTINUE',
];
const ofMembers = [
  'ROW found it',
  'ROW replica 3 3.43 0 25 1 9',
  'DONE 4.a2.b.31',
  'DONE -',
  'FAULT READONLY member-7',
  'IDLE I 3.43',
  'IDLE E -',
];
const bits = [
  ' ',
  '  ',
  '\r',
  '\n',
  '\r\n',
  '-',
  '- ',
  'QUERY ',
  'OPEN ',
  'READ ',
  'WRITE',
  'SINCE 3.1 ',
  'STATE',
  'CLEAR',
  'PAUSE 9',
  'YIELD 9',
  'CONTINUE',
  '\u0000',
  'ÿ',
  '9'.repeat(400),
  '__proto__',
  'I',
  '.',
];

function mutated(random: () => number, from: readonly string[]): string {
  function any<Item>(of: readonly Item[]): Item {
    return of[Math.floor(random() * of.length)] as Item;
  }
  let message = any(from);
  for (let times = Math.floor(random() * 4); times > 0; times -= 1) {
    const at = Math.floor(random() * (message.length + 1));
    const kind = random();
    if (kind < 0.3) message = message.slice(0, at) + message.slice(at + 1 + Math.floor(random() * 3));
    else if (kind < 0.7) message = message.slice(0, at) + any(bits) + message.slice(at);
    else if (kind < 0.85) message = message.slice(0, at) + any(from).slice(Math.floor(random() * 12));
    else
      message = message
        .split(' ')
        .filter(() => random() < 0.8)
        .join(random() < 0.8 ? ' ' : '  ');
  }
  return message;
}

const word = '[^ \\r\\n]+';
const tail = '[^\\r\\n]+';
const texts = `BEGIN|BEGIN READ|COMMIT|REVERT|READ ${tail}|WRITE ${word} [^\\r\\n]*|SET ${word} [^\\r\\n]*|DEFINE ${word} (READ|WRITE) ${tail}|INVOKE ${word} ${tail}|UNDEFINE ${tail}`;
const grammar = new RegExp(`^(OPEN ${word} ${tail}|QUERY (?!- )${word} (${texts})|CLOSE)$`);

Then('{int} messages mutated from seed {int} are let in exactly where the grammar names them', function then(count: number, seed: number) {
  const random = worlds.create(seed).fraction;
  let within = 0;
  for (let round = 0; round < count; round += 1) {
    const message = mutated(random, ofClients);
    assert.equal(isLetIn(message), grammar.test(message), JSON.stringify(message));
    if (grammar.test(message)) within += 1;
  }
  assert.ok(within > count / 10 && within < count * 0.9, `${within} of ${count} are within the grammar`);
});

Then(
  '{int} messages of members mutated from seed {int} are read or unreadable, and none throws',
  function then(count: number, seed: number) {
    const random = worlds.create(seed).fraction;
    const named = /^(ROW( .*)?|DONE .+|FAULT [A-Z]{1,20}( .*)?|IDLE [ITE] (-|\d{1,15}\.\d{1,15}))$/s;
    for (let round = 0; round < count; round += 1) {
      const message = mutated(random, ofMembers);
      const read = wire.parseReply(message);
      assert.equal(read.kind !== 'unreadable', named.test(message), JSON.stringify(message));
      if (read.kind === 'row') assert.equal(read.raw, message);
      wire.memberStatus([message]);
    }
  },
);

// -- What reaches a member.

const memberAddress = '10.3.0.1:5000';
const clientAddress = '10.2.0.1:8000';
const feedAddress = '10.2.0.1:7002';

const entry: MemberRecord = {
  member: 'member-1',
  service: 'ferries',
  address: memberAddress,
  area: 'north',
  draining: false,
  role: 'primary',
  slots: 4,
  sequence: 1,
  gone: false,
  down: false,
};

/** A member that replies to everything and keeps what it heard; statements within a transaction leave it open. */
async function memberTask(stream: Stream, heard: string[]): Promise<void> {
  const framer = wire.framer(mostBytes * 2);
  let status: 'I' | 'T' = 'I';
  for (;;) {
    const piece = await stream.read();
    if (Option.isNone(piece)) return;
    for (const message of framer.push(piece.value).messages) {
      heard.push(message);
      const text = message.split(' ').slice(2).join(' ');
      if (text.startsWith('BEGIN')) status = 'T';
      if (text === 'COMMIT' || text === 'REVERT') status = 'I';
      if (message.startsWith('OPEN')) stream.write('IDLE I 3.7\r\n');
      else
        stream.write(
          `${text.startsWith('READ') ? 'ROW found\r\n' : ''}DONE ${message.startsWith('QUERY - ') ? '-' : 'stamp.1'}\r\nIDLE ${status} 3.7\r\n`,
        );
    }
  }
}

Given('a proxy of the session wire with one member, fed with a lease', async function given(this: WireStory) {
  this.world = worlds.create(21);
  this.heard = [];
  this.client = this.world.spawn('sender', 'sender-machine').runtime;
  const checked = placements.validate({
    services: [{ service: 'ferries', connectionLimit: 56, registered: true }],
    rows: [],
    keys: [],
    tenants: [{ tenant: 'tenant-a', keys: ['key1'] }],
    databases: [{ database: 'harbour', service: 'ferries', reads: 'leader', horizonMilliseconds: 800, aimMilliseconds: 100 }],
  });
  assert.ok(Either.isRight(checked));
  const { runtime: memberRuntime } = this.world.spawn('member', 'member-machine');
  await memberRuntime.network.listenStream(identifiers.address(memberAddress), (stream) => void memberTask(stream, this.heard));
  const { runtime: agentRuntime } = this.world.spawn('agent', 'edge-machine');
  await peer.listen(agentRuntime, identifiers.address(feedAddress), {
    placement: async function placement(ask) {
      if (ask.hold > 0) await agentRuntime.clock.sleep(ask.hold);
      return {
        token: 'agent',
        number: 1,
        serial: 1,
        held: 0,
        demand: {},
        marks: {},
        configuration: ask.configuration === 1 ? null : { version: 1, sheet: checked.right },
        configurationVersion: 1,
        services: [{ service: 'ferries', epoch: 1, primary: 'member-1', left: 2_000, release: 0 }],
        roster: [entry],
        edges: { north: 1 },
        area: 'north',
        node: 'edge-1',
      };
    },
    tell: () => ({ kept: true }),
  });
  const { runtime: proxyRuntime } = this.world.spawn('proxy', 'edge-machine');
  const started = await pooler.start(
    proxyRuntime,
    { clientAddress: clientAddress, readinessAddress: '10.2.0.1:8001', agentAddress: feedAddress, graceMilliseconds: 6_000 },
    { dialect: wire, readinessRoutes: () => [] },
  );
  await this.world.run(1_500);
  assert.ok(started.ready());
});

/** One session: the messages go out as they are, and what came back is handed over as lines. */
async function session(story: WireStory, messages: readonly string[]): Promise<readonly string[]> {
  const opening = story.client.network.openStream(identifiers.address(clientAddress), 1_000);
  await story.world.run(30);
  const stream = await opening;
  assert.ok(Either.isRight(stream));
  const lines: string[] = [];
  const framer = wire.framer(mostBytes);
  async function read(): Promise<void> {
    for (;;) {
      if (Either.isLeft(stream)) return;
      const piece = await stream.right.read();
      if (Option.isNone(piece)) return;
      lines.push(...framer.push(piece.value).messages);
    }
  }
  void read();
  for (const message of messages) {
    stream.right.write(`${message}\r\n`);
    await story.world.run(60);
  }
  await story.world.run(60);
  stream.right.close();
  await story.world.run(30);
  return lines;
}

When('a session reads and writes, and says each of these in a session of its own:', async function when(this: WireStory, table: DataTable) {
  assert.deepEqual(await session(this, ['OPEN harbour key1', 'QUERY ab12 READ k77', 'QUERY ab13 WRITE k77 two words ']), [
    'IDLE I -',
    'ROW found',
    'DONE stamp.1',
    'IDLE I 3.7',
    'DONE stamp.1',
    'IDLE I 3.7',
  ]);
  this.said = [];
  for (const message of messagesOf(table)) this.said.push(await session(this, ['OPEN harbour key1', message]));
});

Then('each was replied {string}', function then(this: WireStory, expected: string) {
  for (const lines of this.said) assert.ok(lines[1]?.startsWith(expected), JSON.stringify(lines));
});

Then("the member heard the read and the write unchanged, under the tenant's name, and nothing else", function then(this: WireStory) {
  assert.deepEqual(this.heard, ['OPEN ferries tenant-a member-1', 'QUERY ab12 READ k77', 'QUERY ab13 WRITE k77 two words ']);
});

When(
  '{int} sessions say messages mutated from seed {int}',
  { timeout: 60_000 },
  async function when(this: WireStory, count: number, seed: number) {
    const random = worlds.create(seed).fraction;
    for (let round = 0; round < count; round += 1) {
      const messages = Array.from({ length: 1 + Math.floor(random() * 6) }, () => mutated(random, ofClients));
      await session(this, random() < 0.9 ? ['OPEN harbour key1', ...messages] : messages);
    }
  },
);

Then('the proxy still serves, and the member heard only what the grammar names', async function then(this: WireStory) {
  assert.equal((await session(this, ['OPEN harbour key1', 'QUERY ab12 READ k77']))[1], 'ROW found');
  const own = /^(OPEN ferries tenant-a member-1|QUERY - (BEGIN|BEGIN READ|REVERT|CLEAR|SET [^ ]+ .*|DEFINE p\d+ (READ|WRITE) .+)|CLOSE)$/;
  const passed = /^QUERY (?!- )[^ ]+ (COMMIT|READ .+|WRITE [^ ]+ .*|INVOKE p\d+ .+)$/;
  for (const message of this.heard)
    assert.ok(!/[\r\n]/.test(message) && (own.test(message) || passed.test(message)), JSON.stringify(message));
  assert.ok(this.heard.some((message) => passed.test(message)));
});
