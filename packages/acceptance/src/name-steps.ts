/** Steps of names.feature: names from configurations at the border of the process, as bytes (design 2.2). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fastCheck from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';

import { byteText, fault, type Address, type Listener, type Network } from '@stallstall/kernel';
import { placements, type PlacementConfiguration } from '@stallstall/placement';
import { configuration, wire } from '@stallstall/platform';
import { network } from '@stallstall/runtime';
import { minimalNetwork } from '@stallstall/runtime/minimal-runtime';
import type { PooledSheet } from '@stallstall/simulator';
import { freeAddress } from './runtime.js';
import { conditionOf, openSession, startPooledFleet, type PooledStory } from './pooled-story.js';

type NameStory = PooledStory & {
  keys: readonly string[];
  servers: Array<Readonly<{ address: Address; listener: Listener }>>;
  received: string[];
  returned: string[];
  statuses: number[];
};

/** Both implementations of HTTP. */
const networks: readonly Network[] = [network, minimalNetwork];
const headerName = 'x-stallstall-key';

function withTenants(sheet: PooledSheet, names: readonly string[], keys: readonly string[]): PooledSheet {
  return { ...sheet, tenants: names.map((tenant, index) => ({ tenant, keys: [keys[index] as string] })) };
}

Given(
  'a running pooled fleet with the tenants {string} and {string}, whose keys are {string} and {string}',
  async function given(this: NameStory, one: string, other: string, oneKey: string, otherKey: string) {
    this.pooled = await startPooledFleet();
    this.keys = [oneKey, otherKey];
    const sheet = withTenants(this.pooled.firstSheet(), [one, other], this.keys);
    assert.ok(await this.pooled.drive(this.pooled.configure(6, sheet, 1)));
    await this.pooled.world.run(1_000);
  },
);

When('a session with each of their keys, sent as UTF-8, puts a value', async function when(this: NameStory) {
  for (const key of this.keys) {
    const session = await openSession(this, 'bookings-lead', 'edge-1', byteText.encode(key));
    assert.equal(conditionOf(await this.pooled.drive(session.query(`named-${this.keys.indexOf(key)}`, 'put x1 named', 5_000))), 'served');
  }
});

Then('members ran the puts for {string} and {string}', function then(this: NameStory, one: string, other: string) {
  const told = this.pooled.runs.filter((run) => run.identifier.startsWith('named-')).map((run) => run.tenant);
  assert.deepEqual(told, [byteText.encode(one), byteText.encode(other)]);
});

/** Texts of any UTF-16 units, halves of surrogate pairs, white space and control characters among them. */
const anyText = fastCheck
  .array(fastCheck.oneof(fastCheck.integer({ min: 0x21, max: 0x24f }), fastCheck.integer({ min: 0, max: 0xffff })), {
    minLength: 1,
    maxLength: 12,
  })
  .map((units) => String.fromCharCode(...units));
const anyBytes = fastCheck.array(fastCheck.integer({ min: 0, max: 0xff }), { maxLength: 12 }).map((bytes) => String.fromCharCode(...bytes));

/** The configuration with these two tenants, or why it is refused. */
function accept(names: readonly [string, string]): Either.Either<string, PlacementConfiguration> {
  const translated = configuration.translate({
    Generation: 1,
    Channels: [],
    Plants: [],
    Accounts: names.map((name) => ({ Label: name, Credentials: [name] })),
  });
  assert.ok(Either.isRight(translated));
  const validated = placements.validate(translated.right.sheet);
  return Either.isRight(validated) ? validated : Either.left(JSON.stringify(fault.details(validated.left).details));
}

function wordsOf(tenant: string): readonly string[] {
  return wire.opening('service', byteText.encode(tenant), 'member').replace(/\r\n$/, '').split(' ');
}

When('two arbitrary names are taken as tenants and as keys {int} times', function when(this: NameStory, count: number) {
  fastCheck.assert(
    fastCheck.property(anyText, anyText, function holds(one, other) {
      fastCheck.pre(one !== other);
      const accepted = accept([one, other]);
      const mustBeRefused = [one, other].some((name) => /\s/.test(name) || !byteText.isEncodable(name));
      assert.equal(Either.isLeft(accepted), mustBeRefused);
      if (Either.isLeft(accepted)) {
        assert.match(accepted.left, /tenants/);
        return;
      }
      const words = accepted.right.tenants.map(({ tenant }) => wordsOf(tenant));
      for (const opening of words) assert.equal(opening.length, 4);
      assert.ok(words.every((opening) => !/[\r\n]/.test(opening.join(' '))));
      assert.notEqual(words[0]?.[2], words[1]?.[2]);
      for (const { tenant, keys } of accepted.right.tenants) {
        const opened = wire.parseRequest(`OPEN database ${byteText.encode(keys[0] as string)}`);
        assert.ok(opened.kind === 'open');
        assert.equal(byteText.decode(opened.key), tenant);
      }
    }),
    { numRuns: count, seed: 39 },
  );
});

Then('each accepted pair gave two different openings of four words, and each key was read back from its bytes', () => undefined);
Then('each name with white space or half of a surrogate pair was refused with its place', () => undefined);

When('two arbitrary sequences of bytes are read as names {int} times', function when(this: NameStory, count: number) {
  fastCheck.assert(
    fastCheck.property(anyBytes, anyBytes, function holds(one, other) {
      if (one !== other) assert.notEqual(byteText.decode(one), byteText.decode(other));
      const text = byteText.decode(one);
      const isValid = Buffer.from(Buffer.from(one, 'latin1').toString('utf8'), 'utf8').toString('latin1') === one;
      assert.equal(byteText.isEncodable(text), isValid);
      if (isValid) assert.equal(byteText.encode(text), one);
    }),
    { numRuns: count, seed: 39 },
  );
});

Then('different bytes were different texts, and only valid UTF-8 became a text that a configuration may have', () => undefined);

Given('a server that returns the header {string} it receives', async function given(this: NameStory, name: string) {
  this.received = [];
  this.servers = [];
  for (const served of networks) {
    const address = await freeAddress();
    const listener = await served.serve(address, {
      routes: [
        {
          method: 'POST',
          path: '/echo',
          handle: async (request) => {
            this.received.push(request.headers[name] ?? '');
            return { status: 200, headers: { [name]: request.headers[name] ?? '' }, body: {} };
          },
        },
      ],
    });
    this.servers.push({ address, listener });
  }
});

When('a client sends the header with {string} over each kind of connection', async function when(this: NameStory, key: string) {
  this.returned = [];
  for (const client of networks)
    for (const { address } of this.servers) {
      const connection = client.connect(address);
      const reply = await connection.exchange({ method: 'POST', path: '/echo', headers: { [headerName]: key }, body: {} }, 2_000);
      connection.close();
      assert.ok(Either.isRight(reply));
      this.returned.push(reply.right.headers?.[headerName] ?? '');
    }
  for (const { listener } of this.servers) await listener.stop();
});

Then('the server received {string} and so did the client', function then(this: NameStory, key: string) {
  assert.deepEqual(new Set([...this.received, ...this.returned]), new Set([key]));
  assert.equal(this.received.length, networks.length * networks.length);
});

When('a body with a byte that is not UTF-8 is sent to each kind of server', async function when(this: NameStory) {
  this.statuses = [];
  const body = Buffer.concat([Buffer.from('{"Label":"'), Buffer.from([0xff]), Buffer.from('na"}')]);
  for (const { address } of this.servers) {
    const reply = await fetch(`http://${address}/echo`, { method: 'POST', headers: { 'content-type': 'application/json' }, body });
    this.statuses.push(reply.status);
  }
  for (const { listener } of this.servers) await listener.stop();
});

Then('both replied with status {int}', function then(this: NameStory, status: number) {
  assert.deepEqual(this.statuses, [status, status]);
});
