/** Steps of platform.feature: configurations, settings and routes in the platform's formats. */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { core, type PlatformApi } from '@stallstall/core';
import { fault, http, identifiers, type Fault, type HttpReply, type Runtime } from '@stallstall/kernel';
import { message, MemberRecordSchema } from '@stallstall/message';
import { configuration, platformRoutes, platformCalls, type PlatformSettings } from '@stallstall/platform';
import type { Registration } from '@stallstall/member-registry';
import { placements } from '@stallstall/placement';
import { world as worlds, type World } from '@stallstall/simulator';

type Fields = Record<string, unknown>;
type Sent = Fields & { Channels: Fields[]; Plants: Fields[]; Accounts: Fields[] };
export type PlatformStory = {
  world: World;
  operator: Runtime;
  replies: HttpReply[];
  standing: unknown;
  sent: ReadonlyArray<readonly [number, readonly HttpReply[], unknown]>;
  folder: string;
  lines: readonly string[];
  current: () => PlatformSettings;
  later: PlatformSettings;
  before: PlatformSettings;
  seen: ReadonlyArray<PlatformSettings>;
  mappings: ReturnType<typeof platformRoutes.control>;
  beats: Registration[];
  left: string[];
};

// -- Configurations.

function sample(version = 7): Sent {
  return {
    Generation: version,
    Channels: [
      {
        Label: 'r-1',
        Hostname: 'harbour',
        PathPrefix: '/',
        RouteKind: 'primary',
        DeadlineMs: 800,
        SetpointMs: 100,
        Rank: 1,
        Plant: 'ferries',
        Tries: 2,
        Unkeyed: false,
      },
      {
        Label: 'r-2',
        Hostname: 'lighthouse',
        PathPrefix: '/',
        RouteKind: 'bounded_lag',
        DeadlineMs: 1200.5,
        SetpointMs: 300,
        Rank: 2,
        Plant: 'ferries',
        Tries: 2,
        StalenessMs: 1500,
        Unkeyed: true,
      },
      { Label: 'r-3', Hostname: 'pier', RouteKind: 'native', DeadlineMs: 800, Plant: 'trams' },
    ],
    Plants: [
      { Label: 'ferries', ProbePath: '/health', ConnLimit: 56, Protocol: 'h1', TlsMode: false, SyncReplicas: 1 },
      { Label: 'trams', ConnLimit: 40 },
    ],
    InputLimits: { HeadBytes: 16384, PayloadBytes: 262144, HeadReadMs: 3000, QuietConnMs: 15000, TxRestMs: 3000 },
    Accounts: [
      { Label: 'tenant-a', Credentials: ['key-one', 'key-two'], Rank: 1 },
      { Label: 'tenant-b', Credentials: ['key-three'] },
    ],
  };
}

function without(fields: Fields, name: string): Fields {
  return Object.fromEntries(Object.entries(fields).filter(([key]) => key !== name));
}

/** The sample with one entry of a list changed. */
function changed(list: 'Channels' | 'Plants' | 'Accounts', index: number, change: Fields): Sent {
  const whole = sample();
  whole[list][index] = { ...whole[list][index], ...change };
  return whole;
}

function lacking(list: 'Channels' | 'Plants' | 'Accounts', index: number, name: string): Sent {
  const whole = sample();
  whole[list][index] = without(whole[list][index] as Fields, name);
  return whole;
}

const invalid: Readonly<Record<string, () => unknown>> = {
  'nothing at all': () => null,
  'a text': () => JSON.stringify(sample()),
  'a list': () => [sample()],
  'no version': () => without(sample(), 'Generation'),
  'a version that is a text': () => ({ ...sample(), Generation: '7' }),
  'a version that is not an integer': () => ({ ...sample(), Generation: 7.5 }),
  'a version below 0': () => ({ ...sample(), Generation: -1 }),
  'no routes': () => without(sample(), 'Channels'),
  'routes that are not a list': () => ({ ...sample(), Channels: {} }),
  'no services': () => without(sample(), 'Plants'),
  'a route without a host': () => lacking('Channels', 0, 'Hostname'),
  'a route without a label': () => lacking('Channels', 0, 'Label'),
  'a route without a service': () => lacking('Channels', 0, 'Plant'),
  'a route without a deadline': () => lacking('Channels', 0, 'DeadlineMs'),
  'a route of an unknown service': () => changed('Channels', 1, { Plant: 'balloons' }),
  'a route of an unknown kind': () => changed('Channels', 1, { RouteKind: 'any' }),
  'two routes with the same host and prefix': () => changed('Channels', 1, { Hostname: 'harbour' }),
  'the same prefix given and defaulted': () => changed('Channels', 2, { Hostname: 'harbour' }),
  'a deadline of 0': () => changed('Channels', 1, { DeadlineMs: 0 }),
  'a deadline below 0': () => changed('Channels', 1, { DeadlineMs: -5 }),
  'a deadline that is a text': () => changed('Channels', 1, { DeadlineMs: '800' }),
  'an aim that is a text': () => changed('Channels', 1, { SetpointMs: '100' }),
  'a staleness below 0': () => changed('Channels', 1, { StalenessMs: -1 }),
  'a service without a limit': () => lacking('Plants', 1, 'ConnLimit'),
  'a limit of 0': () => changed('Plants', 1, { ConnLimit: 0 }),
  'a service listed twice': () => changed('Plants', 1, { Label: 'ferries' }),
  'a key shared by two tenants': () => changed('Accounts', 1, { Credentials: ['key-four', 'key-two'] }),
  'a tenant without keys': () => lacking('Accounts', 1, 'Credentials'),
  'a tenant without a label': () => lacking('Accounts', 1, 'Label'),
  'a key that is a number': () => changed('Accounts', 1, { Credentials: [17] }),
  'a rest of 0': () => ({ ...sample(), InputLimits: { TxRestMs: 0 } }),
};

/** Validates a configuration as a core does: its shape first, then the checks of the sheet. */
function taken(body: unknown): Either.Either<Fault, unknown> {
  const translated = configuration.translate(body);
  return Either.isLeft(translated) ? translated : placements.validate(translated.right.sheet);
}

function sound(body: unknown): ReturnType<typeof placements.validate> {
  const checked = taken(body);
  assert.ok(
    Either.isRight(checked),
    Either.isLeft(checked) ? `${checked.left.message} ${JSON.stringify(fault.details(checked.left).details)}` : '',
  );
  return checked as ReturnType<typeof placements.validate>;
}

Given('the sample configuration', function given() {
  sound(sample());
});

const expectedSheet = {
  services: [
    { service: 'ferries', connectionLimit: 56, members: [], registered: true, synchronousReplicas: 1 },
    { service: 'trams', connectionLimit: 40, members: [], registered: true, synchronousReplicas: 0 },
  ],
  rows: [],
  keys: [],
  mappings: [],
  databases: [
    {
      database: 'harbour',
      service: 'ferries',
      reads: 'leader',
      staleMilliseconds: 0,
      horizonMilliseconds: 800,
      aimMilliseconds: 100,
      rank: 1,
      open: false,
    },
    {
      database: 'lighthouse',
      service: 'ferries',
      reads: 'bounded',
      staleMilliseconds: 1_500,
      horizonMilliseconds: 1_201,
      aimMilliseconds: 300,
      rank: 2,
      open: true,
    },
    {
      database: 'pier',
      service: 'trams',
      reads: 'own',
      staleMilliseconds: 0,
      horizonMilliseconds: 800,
      aimMilliseconds: 1_000,
      rank: 0,
      open: false,
    },
  ],
  tenants: [
    { tenant: 'tenant-a', keys: ['key-one', 'key-two'], rank: 1 },
    { tenant: 'tenant-b', keys: ['key-three'], rank: 0 },
  ],
  bounds: { restMilliseconds: 3_000, messageBytes: 1_048_576 },
};

Then('its sheet is the expected one', function then() {
  assert.deepEqual(sound(sample()), Either.right(expectedSheet));
  const translated = configuration.translate(sample(12));
  assert.ok(Either.isRight(translated) && translated.right.version === 12);
});

Then('its outages are in its sheet, and an invalid outage is reported', function then() {
  const outage = {
    site: 'quay',
    nodes: ['edge-1'],
    databases: ['lighthouse'],
    weekly: [{ day: 'monday', from: 60, to: 120 }],
    holdMilliseconds: 60_000,
  };
  assert.deepEqual(
    sound({ ...sample(), Outages: [outage] }),
    Either.right({ ...expectedSheet, outages: [{ ...outage, mostBytes: 16_777_216, things: [] }] }),
  );
  assert.ok(Either.isLeft(taken({ ...sample(), Outages: [{ ...outage, databases: ['nowhere'] }] })));
});

Then('with unknown fields at every level it gives the same sheet', function then() {
  const strange = { Novelty: { deep: [1] } };
  const whole = sample();
  const wider = {
    ...whole,
    ...strange,
    InputLimits: { ...(whole['InputLimits'] as Fields), ...strange },
    Channels: whole.Channels.map((one) => ({ ...one, ...strange })),
    Plants: whole.Plants.map((one) => ({ ...one, ...strange })),
    Accounts: whole.Accounts.map((one) => ({ ...one, ...strange })),
  };
  assert.deepEqual(sound(wider), Either.right(expectedSheet));
});

Then("of two prefixes of one host the shorter one's route defines the database", function then() {
  for (const [first, second] of [
    ['/', '/deep'],
    ['/deep', '/'],
  ]) {
    const whole = sample();
    whole.Channels = [
      { ...whole.Channels[0], PathPrefix: first, DeadlineMs: first === '/' ? 111 : 222 },
      { ...whole.Channels[0], PathPrefix: second, DeadlineMs: second === '/' ? 111 : 222 },
    ];
    const checked = sound(whole);
    assert.ok(Either.isRight(checked));
    assert.deepEqual(
      checked.right.databases.map((one) => one.horizonMilliseconds),
      [111],
    );
  }
});

Then('a key listed twice for one tenant is valid', function then() {
  sound(changed('Accounts', 0, { Credentials: ['key-one', 'key-one'] }));
});

Then('each of these makes it invalid:', function then(table: DataTable) {
  const cases = table.hashes().map((row) => row['case'] ?? '');
  assert.deepEqual(cases, Object.keys(invalid));
  for (const [name, body] of Object.entries(invalid)) {
    const checked = taken(body());
    assert.ok(Either.isLeft(checked), name);
    assert.equal(fault.kind(checked.left), 'bad-sheet', name);
    assert.ok(fault.details(checked.left).remedy.length > 0, name);
  }
});

// -- Three cores.

const platformApiAddresses = [1, 2, 3].map((index) => identifiers.address(`10.1.0.${index}:7003`));
const founders = [1, 2, 3].map((index) => `10.1.0.${index}:7000`);

async function startCore(world: World, index: number, alone: boolean): Promise<void> {
  const spawned = world.spawn(`core-${index}`, `core-machine-${index}`, world.disk());
  const host = `10.1.0.${index}`;
  const started = await core.start(
    spawned.runtime,
    {
      node: `core-${index}`,
      area: 'north',
      address: `${host}:7000`,
      outward: `${host}:7001`,
      seeds: () => (alone ? ['10.9.9.9:7000'] : founders),
      platform: () => '10.4.0.1:9000',
      cores: 3,
    },
    Option.some({
      calls: platformCalls.calls(3_300),
      probe: platformCalls.memberProbe(spawned.runtime),
      routes: platformRoutes.control,
      platformApiAddress: `${host}:7003`,
      mayFound: !alone,
      founderAddresses: founders,
    }),
  );
  assert.ok(Either.isRight(started));
}

Given("three cores that use the platform's API", async function given(this: PlatformStory) {
  this.world = worlds.create(31);
  this.operator = this.world.spawn('operator', 'operator-machine').runtime;
  for (const index of [1, 2, 3]) await startCore(this.world, index, false);
  await this.world.run(5_000);
});

async function exchange(
  story: PlatformStory,
  asks: ReadonlyArray<Readonly<{ to: number; method: string; path: string; body?: unknown }>>,
): Promise<readonly HttpReply[]> {
  const under = Promise.all(
    asks.map((ask) =>
      http.exchangeOnce(
        story.operator,
        platformApiAddresses[ask.to - 1] ?? identifiers.address(`10.1.0.${ask.to}:7003`),
        { method: ask.method, path: ask.path, body: ask.body },
        5_000,
      ),
    ),
  );
  await story.world.run(6_000);
  return (await under).map((reply) => {
    assert.ok(Either.isRight(reply), Either.isLeft(reply) ? reply.left.message : '');
    return reply.right;
  });
}

async function send(story: PlatformStory, bodies: ReadonlyArray<readonly [number, unknown]>): Promise<readonly HttpReply[]> {
  return exchange(
    story,
    bodies.map(([to, body]) => ({ to, method: 'POST', path: '/api/config/replace', body })),
  );
}

/** Returns the configuration that the cores read back, after checking that it is the same on each. */
async function readBack(story: PlatformStory): Promise<unknown> {
  const replies = await exchange(
    story,
    [1, 2, 3].map((to) => ({ to, method: 'GET', path: '/api/config/read' })),
  );
  for (const reply of replies) {
    assert.equal(reply.status, 200);
    assert.deepEqual(reply.body, replies[0]?.body);
  }
  return replies[0]?.body;
}

When('version {int} is sent to core {int}', async function when(this: PlatformStory, version: number, to: number) {
  this.replies = [...(await send(this, [[to, sample(version)]]))];
});

When('version {int} is sent to core {int} with another deadline', async function when(this: PlatformStory, version: number, to: number) {
  this.replies = [...(await send(this, [[to, { ...changed('Channels', 0, { DeadlineMs: 999 }), Generation: version }]]))];
});

Then('it is acknowledged, and every core reads back version {int}', async function then(this: PlatformStory, version: number) {
  assert.equal(this.replies[0]?.status, 200, JSON.stringify(this.replies));
  this.standing = await readBack(this);
  assert.deepEqual(this.standing, sample(version));
});

async function asItWas(story: PlatformStory, version: number): Promise<void> {
  const read = await readBack(story);
  assert.deepEqual(read, story.standing);
  assert.equal((read as Sent)['Generation'], version);
}

Then('it is acknowledged, and every core reads back version {int} as it was', async function then(this: PlatformStory, version: number) {
  assert.equal(this.replies[0]?.status, 200, JSON.stringify(this.replies));
  await asItWas(this, version);
});

Then(
  'it is refused with 409 and a remedy, and every core reads back version {int} as it was',
  async function then(this: PlatformStory, version: number) {
    assert.equal(this.replies[0]?.status, 409, JSON.stringify(this.replies));
    assert.ok(String((this.replies[0]?.body as { remedy?: unknown }).remedy).length > 0);
    await asItWas(this, version);
  },
);

When(
  'each invalid configuration is sent as version {int} to core {int}',
  { timeout: 60_000 },
  async function when(this: PlatformStory, version: number, to: number) {
    this.replies = [];
    for (const [name, body] of Object.entries(invalid)) {
      const whole = body();
      const sent =
        typeof whole === 'object' && whole !== null && !Array.isArray(whole) && (whole as Fields)['Generation'] === 7
          ? { ...whole, Generation: version }
          : whole;
      const [reply] = await send(this, [[to, sent]]);
      assert.ok(reply !== undefined, name);
      this.replies.push(reply);
    }
  },
);

Then(
  'each was replied 400 with a remedy, and every core reads back version {int} as it was',
  async function then(this: PlatformStory, version: number) {
    assert.equal(this.replies.length, Object.keys(invalid).length);
    for (const [index, reply] of this.replies.entries()) {
      assert.equal(reply.status, 400, `${Object.keys(invalid)[index]} ${JSON.stringify(reply.body)}`);
      assert.ok(String((reply.body as { remedy?: unknown }).remedy).length > 0);
    }
    await asItWas(this, version);
  },
);

When(
  'versions {int} and {int} are sent to cores {int} and {int} at the same moment, ten times over with rising versions',
  { timeout: 60_000 },
  async function when(this: PlatformStory, lower: number, higher: number, first: number, second: number) {
    const sent: Array<readonly [number, readonly HttpReply[], unknown]> = [];
    for (let round = 0; round < 10; round += 1) {
      const pair: ReadonlyArray<readonly [number, unknown]> = [
        [first, sample(lower + round * 2)],
        [second, sample(higher + round * 2)],
      ];
      const replies = await send(this, round % 2 === 0 ? pair : [...pair].reverse());
      sent.push([higher + round * 2, replies, await readBack(this)]);
    }
    this.sent = sent;
  },
);

Then('each time both are acknowledged, and every core reads back the higher one', function then(this: PlatformStory) {
  for (const [higher, replies, read] of this.sent) {
    assert.deepEqual(
      replies.map((reply) => reply.status),
      [200, 200],
    );
    assert.deepEqual(read, sample(higher));
  }
});

Then('no configuration can be read back', async function then(this: PlatformStory) {
  const [reply] = await exchange(this, [{ to: 1, method: 'GET', path: '/api/config/read' }]);
  assert.equal(reply?.status, 404);
});

Then('a core that has not reached any other replies 503 to a heartbeat and to a leave request', async function then(this: PlatformStory) {
  await startCore(this.world, 9, true);
  await this.world.run(1_000);
  const replies = await exchange(this, [
    { to: 9, method: 'POST', path: '/api/members/member-1/beat', body: beat() },
    { to: 9, method: 'POST', path: '/api/members/member-1/leave' },
  ]);
  assert.deepEqual(
    replies.map((reply) => reply.status),
    [503, 503],
  );
});

// -- Routes.

function beat(): Fields {
  return {
    Plant: 'ferries',
    Address: '10.3.0.9:8080',
    ZoneName: 'north',
    Generation: 'v1',
    Capacity: 4,
    Phase: 'in_service',
    WarmupLeftMs: 0,
    DbPosition: 'replica',
    CallSeq: 4,
  };
}

function ask(story: PlatformStory, method: string, path: string, body: unknown = undefined): Promise<HttpReply> {
  return http.dispatch(story.mappings, { method, path, query: {}, headers: {}, body, connection: 'c' });
}

Then('readiness is 200 when ready, and 503 when not', async function then() {
  for (const ready of [true, false]) {
    const reply = await http.dispatch(
      platformRoutes.readiness(() => ready),
      { method: 'GET', path: '/api/readiness', query: {}, headers: {}, body: undefined, connection: 'c' },
    );
    assert.equal(reply.status, ready ? 200 : 503);
  }
});

Given('the routes of a core with a platform API that records its calls', function given(this: PlatformStory) {
  this.beats = [];
  this.left = [];
  const platformApi: PlatformApi = {
    ready: () => true,
    configure: (external, sheet) => {
      const checked = placements.validate(sheet);
      return Promise.resolve(Either.isLeft(checked) ? checked : Either.right({ version: external.version }));
    },
    readSource: () => Promise.resolve(Either.right('{}')),
    heartbeat: (registration) => Promise.resolve(this.beats.push(registration) > 0),
    leave: (member) => Promise.resolve(this.left.push(member) > 0),
  };
  this.mappings = platformRoutes.control(platformApi);
});

When('a member sends a heartbeat in service and one while draining, and leaves', async function when(this: PlatformStory) {
  this.replies = [
    await ask(this, 'POST', '/api/members/member-9/beat', beat()),
    await ask(this, 'POST', '/api/members/member-9/beat', {
      ...beat(),
      Phase: 'draining',
      DbPosition: 'primary',
      CallSeq: 5,
      Novelty: [1],
    }),
    await ask(this, 'POST', '/api/members/member-9/leave'),
  ];
});

Then('the platform API was called with both heartbeats and the leave request', function then(this: PlatformStory) {
  assert.deepEqual(
    this.replies.map((reply) => reply.status),
    [200, 200, 200],
  );
  const first: Registration = {
    member: 'member-9',
    service: 'ferries',
    address: '10.3.0.9:8080',
    area: 'north',
    draining: false,
    role: 'replica',
    slots: 4,
    sequence: 4,
  };
  assert.deepEqual(this.beats, [first, { ...first, draining: true, role: 'primary', sequence: 5 }]);
  assert.deepEqual(this.left, ['member-9']);
});

const badBeats: Readonly<Record<string, () => unknown>> = {
  'no body': () => null,
  'a text': () => 'beat',
  'a list': () => [beat()],
  'no Plant': () => without(beat(), 'Plant'),
  'no Address': () => without(beat(), 'Address'),
  'no ZoneName': () => without(beat(), 'ZoneName'),
  'no Phase': () => without(beat(), 'Phase'),
  'no DbPosition': () => without(beat(), 'DbPosition'),
  'no CallSeq': () => without(beat(), 'CallSeq'),
  'an empty Plant': () => ({ ...beat(), Plant: '' }),
  'a Plant of 201 characters': () => ({ ...beat(), Plant: 'x'.repeat(201) }),
  'a Plant with a line end': () => ({ ...beat(), Plant: 'ferries\r\nCLOSE' }),
  'an Address by name': () => ({ ...beat(), Address: 'member.name:80' }),
  'an Address without a port': () => ({ ...beat(), Address: '10.3.0.9' }),
  'an Address of port 99999': () => ({ ...beat(), Address: '10.3.0.9:99999' }),
  'an Address of 10.1.0.999': () => ({ ...beat(), Address: '10.1.0.999:80' }),
  'an unknown DbPosition': () => ({ ...beat(), DbPosition: 'leader' }),
  'a CallSeq below 0': () => ({ ...beat(), CallSeq: -1 }),
  'a CallSeq that is a text': () => ({ ...beat(), CallSeq: '4' }),
  'a CallSeq beyond the safe integers': () => ({ ...beat(), CallSeq: 1e300 }),
  'a Capacity that is a text': () => ({ ...beat(), Capacity: '4' }),
};

function isDenied(reply: HttpReply): boolean {
  return reply.status >= 400 && reply.status < 500;
}

Then('each of these heartbeats gets a 4xx:', async function then(this: PlatformStory, table: DataTable) {
  assert.deepEqual(
    table.hashes().map((row) => row['case']),
    Object.keys(badBeats),
  );
  for (const [name, body] of Object.entries(badBeats))
    assert.ok(isDenied(await ask(this, 'POST', '/api/members/member-9/beat', body())), name);
  assert.deepEqual(this.beats, []);
});

Then('a heartbeat and a leave request of each of these ids get a 4xx:', async function then(this: PlatformStory, table: DataTable) {
  for (const row of table.hashes()) {
    const id = row['id'] === '201 characters' ? 'x'.repeat(201) : (row['id'] ?? '');
    assert.ok(isDenied(await ask(this, 'POST', `/api/members/${id}/beat`, beat())), `beat ${id}`);
    assert.ok(isDenied(await ask(this, 'POST', `/api/members/${id}/leave`)), `leave ${id}`);
  }
  assert.deepEqual([this.beats, this.left], [[], []]);
});

const junk: readonly unknown[] = [
  null,
  true,
  -1,
  0,
  1.5,
  1e300,
  '',
  'text',
  'x'.repeat(300),
  [],
  {},
  '1.2.3.4:5',
  '1.2.3.4:70000',
  { length: 3 },
];
const paths = [
  '/api/members/member-9/beat',
  '/api/members/member-9/leave',
  '/api/members/%zz/beat',
  '/api/members//beat',
  '/api/config/replace',
  '/api/config/read',
  '/api/members',
  '/%',
  '',
];

function spoilt(value: unknown, random: () => number): unknown {
  if (typeof value !== 'object' || value === null || random() < 0.1) return junk[Math.floor(random() * junk.length)];
  const entries = Object.entries(value);
  const index = Math.floor(random() * entries.length);
  const kept = entries.flatMap(([name, inner], at) =>
    at !== index ? [[name, inner] as const] : random() < 0.3 ? [] : [[name, spoilt(inner, random)] as const],
  );
  return Array.isArray(value) ? kept.map(([, inner]) => inner) : Object.fromEntries(kept);
}

Then(
  '{int} corrupted heartbeats, leave requests and configurations from seed {int} each get a reply, and nothing throws',
  async function then(this: PlatformStory, count: number, seed: number) {
    const random = worlds.create(seed).fraction;
    const statuses = new Set<number>();
    for (let round = 0; round < count; round += 1) {
      const path = paths[Math.floor(random() * paths.length)] as string;
      const reply = await ask(this, random() < 0.9 ? 'POST' : 'GET', path, spoilt(path.endsWith('beat') ? beat() : sample(), random));
      assert.ok(reply.status === 200 || isDenied(reply), `${path} ${reply.status} ${JSON.stringify(reply.body)}`);
      statuses.add(reply.status);
    }
    assert.ok(
      [200, 400, 404].every((status) => statuses.has(status)),
      [...statuses].join(' '),
    );
  },
);

Then('the platform API was called only with what cores can send one another', function then(this: PlatformStory) {
  assert.ok(this.beats.length > 0);
  for (const reported of this.beats)
    assert.ok(message.matches(MemberRecordSchema, { ...reported, gone: false, down: false }), JSON.stringify(reported));
});
