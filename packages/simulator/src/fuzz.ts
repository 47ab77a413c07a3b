/** Malformed input from a seed, for every interface (design 10.4): valid examples with one value corrupted, and arbitrary values. */
import type { HttpReply } from '@stallstall/kernel';
import { http, identifiers, type Runtime, type Link } from '@stallstall/kernel';
import { message, messages, type MessageKind } from '@stallstall/message';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fleet } from './fleet.js';

const arbitraryValues: readonly unknown[] = [
  null,
  '',
  'x'.repeat(5_000),
  -1,
  1.5,
  1e300,
  Number.MAX_SAFE_INTEGER,
  [],
  {},
  [[[]]],
  { toString: 1 },
  { __proto__: { admin: true } },
  true,
  '\u0000',
  '../../etc',
  '1; drop',
  [null],
  { length: -1 },
];

/** Corrupts one place of a value: replaces it with an arbitrary value, removes it, or adds an unknown property. */
function corrupt(value: unknown, random: () => number): unknown {
  const replacement = arbitraryValues[Math.floor(random() * arbitraryValues.length)];
  if (typeof value !== 'object' || value === null || random() < 0.15) return replacement;
  if (Array.isArray(value)) {
    if (value.length === 0) return [replacement];
    const index = Math.floor(random() * value.length);
    return value.map((item: unknown, at) => (at === index ? corrupt(item, random) : item));
  }
  const entries = Object.entries(value);
  if (entries.length === 0) return { stranger: replacement };
  const index = Math.floor(random() * entries.length);
  const draw = random();
  if (draw < 0.2) return Object.fromEntries(entries.filter((_, at) => at !== index));
  if (draw < 0.3) return { ...value, stranger: replacement };
  return Object.fromEntries(entries.map(([name, inner], at) => [name, at === index ? corrupt(inner, random) : inner]));
}

/** Calls between nodes that are well formed except for a field of a wrong type. */
const wrongCalls: ReadonlyArray<Readonly<{ kind: string; body: Readonly<Record<string, unknown>> }>> = [
  { kind: 'hello', body: { seat: { node: 'x' }, incarnation: 1, fleet: '' } },
  { kind: 'join', body: { seat: { node: 'stranger', role: 'king', area: 'north', address: 'a', outward: 'b', draining: false } } },
  { kind: 'beat', body: { node: 'edge-1', incarnation: 'late', epochs: {}, caps: {}, membership: 1 } },
  { kind: 'beat', body: { node: 'edge-1', incarnation: 1, epochs: { bookings: -4 }, caps: {}, membership: 1 } },
  { kind: 'propose', body: { service: 'bookings', epoch: 1.5, candidate: 'bookings-2', position: 0, node: 'edge-1', membership: 9 } },
  { kind: 'prepare', body: { key: 'configuration', ballot: { counter: '9', node: 'x' } } },
  { kind: 'accept', body: { key: 'configuration', entry: { ballot: { counter: 1e9, node: 'x' }, version: -1, value: {} } } },
  { kind: 'look', body: { key: '' } },
  { kind: 'watch', body: { node: 'edge-1', incarnation: 1, acknowledged: null, obeyed: 0 } },
  { kind: 'note', body: { floors: { bookings: { epoch: 1, position: -1 } }, reports: [], through: {} } },
  {
    kind: 'note',
    body: { floors: {}, reports: [{ node: 'edge-1', incarnation: 'a', number: 1, window: 1, counts: { bookings: 1e999 } }], through: {} },
  },
  { kind: 'tell', body: { number: 1, floors: { bookings: 7 }, usage: [], through: 0, incarnation: 'x' } },
  { kind: 'copy', body: { after: 9 } },
  { kind: 'usageLook', body: {} },
  { kind: 'earlier', body: { versions: [-1] } },
  {
    kind: 'accept',
    body: {
      key: 'configuration',
      entry: { ballot: { counter: 1, node: 'x' }, version: 1, value: null },
      base: { ballot: { counter: 1, node: 'x' }, difference: { pieces: [7], digest: '' } },
    },
  },
  { kind: 'feed', body: { configuration: 0, open: { bookings: 'all' } } },
  { kind: 'shutdown', body: {} },
  { kind: '__proto__', body: {} },
];

const frames: readonly unknown[] = [
  'junk',
  7,
  null,
  [],
  {},
  { call: -1, kind: 'hello', body: {} },
  { reply: 'x', body: {} },
  { change: { number: 1 } },
  { call: 1 },
  { deny: 1, reason: 'no' },
];

/** Sends malformed calls and frames to an address where nodes connect. */
async function sendMalformedFrames(fleet: Fleet, address: string): Promise<void> {
  const stranger = fleet.world.spawn('stranger', 'stranger-machine').runtime;
  for (const wrong of wrongCalls) {
    const link = await stranger.network.open(identifiers.address(address));
    if (Either.isLeft(link)) continue;
    link.right.send({ greet: stranger.protocols });
    link.right.send({ call: 1, ...wrong });
    await stranger.clock.sleep(5);
    link.right.close();
  }
  for (const [index, frame] of frames.entries()) {
    const link = await stranger.network.open(identifiers.address(address));
    if (Either.isLeft(link)) continue;
    // Every other frame is sent in place of the greeting.
    if (index % 2 === 0) link.right.send({ greet: stranger.protocols });
    link.right.send(frame);
    await stranger.clock.sleep(5);
    link.right.close();
  }
}

const seat = { node: 'core-3', role: 'core', area: 'south', address: '10.1.0.3:7000', outward: '10.1.0.3:7001', draining: false };
const ballot = { counter: 9, node: 'core-3#x' };
const registerReply = { ready: true, agreed: true, promised: ballot, accepted: { ballot, version: 1, value: {} } };
/** A valid reply of every kind, to be corrupted. */
const replies: Readonly<Record<MessageKind, unknown>> = {
  hello: { node: 'core-3', role: 'core', incarnation: 1, fleet: 'f', founding: '', cores: [seat], knownPuts: 1, superseded: false },
  form: { agreed: true },
  join: { joined: true, reason: '' },
  propose: { accepted: true, reason: '', epoch: 2 },
  copy: {
    ready: true,
    votes: { bookings: 1 },
    notes: { floors: {}, reports: [], through: {} },
    entries: [{ key: 'configuration', state: {} }],
    next: '',
  },
  beat: { epochs: { bookings: 1 }, caps: {}, membership: 1, superseded: false },
  prepare: registerReply,
  accept: registerReply,
  look: registerReply,
  watch: { ready: true, number: 1, configuration: 1, membership: 1, puts: 1, superseded: false },
  note: { ready: true, floors: { bookings: { epoch: 1, position: 4 } } },
  earlier: { found: [{ version: 1, sentBy: 'a', sentAt: 1, content: 'eJyrrgUAAXUA+Q==' }] },
  usageLook: { ready: true, reports: [], through: {} },
  tell: { kept: true },
  status: { status: {} },
  feed: {
    configuration: null,
    configurationVersion: 1,
    term: 900,
    services: [],
    shares: {},
    draining: false,
    area: 'north',
    node: 'edge-1',
  },
  spread: { taken: true },
  adopt: { adopted: true, silent: ['core-3'] },
  lease: {
    ready: true,
    held: 0,
    token: 't',
    number: 1,
    stances: { bookings: 1 },
    configuration: 1,
    membership: 1,
    puts: 1,
    roster: [],
    whole: false,
    edges: { north: 1 },
    demand: { north: 2 },
    wants: false,
    marks: {},
  },
  placement: {
    token: 't',
    number: 1,
    serial: 1,
    held: 0,
    configuration: null,
    configurationVersion: 1,
    services: [],
    roster: null,
    edges: { north: 1 },
    demand: { north: 2 },
    marks: {},
    area: 'north',
    node: 'edge-1',
  },
};

/**
 * Takes over the address of a process: greets as it would and answers every call with a malformed reply. Returns a function that gives
 * the number of calls answered.
 */
async function impostor(runtime: Runtime, address: string, random: () => number): Promise<() => number> {
  let count = 0;

  function malformedReply(kind: MessageKind): unknown {
    for (;;) {
      const body = corrupt(replies[kind], random);
      if (!message.matches(messages[kind].reply, body)) return body;
    }
  }

  async function serve(link: Link): Promise<void> {
    link.send({ greet: runtime.protocols });
    for (let frame = await link.receive(); Option.isSome(frame); frame = await link.receive()) {
      const { call, kind } = frame.value as { call?: number; kind?: string };
      if (call === undefined || kind === undefined || !message.isKind(kind)) continue;
      count += 1;
      link.send({ reply: call, body: malformedReply(kind) });
    }
  }

  await runtime.network.listen(identifiers.address(address), (link) => void serve(link));
  return () => count;
}

const statement = { kind: 'write', statements: [{ text: 'put', parameters: ['fuzz', 1] }], transaction: 'none', horizonMilliseconds: 500 };
const beat = { member: 'bookings-1', role: 'replica', epoch: 1, received: 3, applied: 3 };

/** Sends malformed requests to an HTTP route. Returns the replies; status 0 stands for none. */
async function sendMalformedRequests(
  fleet: Fleet,
  address: string,
  method: string,
  path: string,
  example: unknown,
  attempts: number,
): Promise<readonly HttpReply[]> {
  const stranger = fleet.world.spawn('stranger', 'stranger-machine').runtime;
  const replies: HttpReply[] = [];
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const reply = await http.exchangeOnce(
      stranger,
      identifiers.address(address),
      {
        method,
        path,
        body: corrupt(example, fleet.world.fraction),
        headers: { 'x-stallstall-key': attempt % 3 === 0 ? fleet.key : `${fleet.key.slice(0, attempt % fleet.key.length)}${attempt}` },
      },
      4_000,
    );
    replies.push(Either.isRight(reply) ? reply.right : { status: 0, body: null });
  }
  return replies;
}

export const fuzz = { corrupt, sendMalformedFrames, sendMalformedRequests, impostor, statement, beat } as const;
