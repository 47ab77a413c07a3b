/** Steps for malformed input: requests, frames, replies, disk entries, configurations and settings. */
import assert from 'node:assert/strict';
import { When, Then, Given } from '@cucumber/cucumber';
import { settings, coreSettings } from '@stallstall/cli';
import { redComun } from '@stallstall/fakes';
import { type HttpReply, identifiers, fault } from '@stallstall/kernel';
import { placements } from '@stallstall/placement';
import { type EdgeSlot, type CoreSlot, fuzz, world as worlds, fleet as fleets } from '@stallstall/simulator';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { type Story, primary, coreOf } from './story.js';

When(
  '{int} malformed statements, heartbeats and configurations are sent to the HTTP routes',
  async function when(this: Story, attempts: number) {
    const edge = this.fleet.edgeAddresses(this.fleet.edges[0] as EdgeSlot);
    const core = this.fleet.coreAddresses(this.fleet.cores[0] as CoreSlot);
    const work = Promise.all([
      fuzz.sendMalformedRequests(this.fleet, edge.proxy, 'POST', '/v1/services/bookings/statements', fuzz.statement, attempts),
      fuzz.sendMalformedRequests(this.fleet, edge.proxy, 'POST', '/v1/services/bookings/sessions', {}, 20),
      fuzz.sendMalformedRequests(this.fleet, edge.proxy, 'PUT', '/v1/sessions/none/values/x', { value: 1 }, 20),
      fuzz.sendMalformedRequests(this.fleet, edge.outward, 'POST', '/v1/members/bookings-1/beat', fuzz.beat, attempts),
      fuzz.sendMalformedRequests(this.fleet, core.outward, 'POST', '/v1/members/bookings-1/beat', fuzz.beat, attempts),
      fuzz.sendMalformedRequests(
        this.fleet,
        core.outward,
        'POST',
        '/v1/sheet/check',
        { sheet: this.fleet.defaultConfiguration() },
        attempts,
      ),
    ]);
    await this.fleet.world.run(60_000);
    this.spoilt = await work;
  },
);

When('malformed calls and frames are sent to every node and feed', async function when(this: Story) {
  const addresses = [
    ...this.fleet.cores.map((slot) => this.fleet.coreAddresses(slot).address),
    ...this.fleet.edges.flatMap((slot) => [this.fleet.edgeAddresses(slot).address, this.fleet.edgeAddresses(slot).feed]),
  ];
  void Promise.all(addresses.map((address) => fuzz.sendMalformedFrames(this.fleet, address)));
  await this.fleet.world.run(8_000);
});

When('a replica of {string} answers every request with a malformed reply', async function when(this: Story, service: string) {
  const currentPrimary = primary(this, service);
  for (const slot of this.fleet.members.filter((one) => one.place.service === service && one !== currentPrimary).slice(0, 1)) {
    this.fleet.stopSlot(slot);
    const faultyMember = this.fleet.world.spawn('faulty-member', slot.machine).runtime;
    const random = this.fleet.world.fraction;
    async function handle(): Promise<HttpReply> {
      return {
        status: random() < 0.5 ? 200 : 500,
        body: fuzz.corrupt(
          { member: slot.place.member, role: 'primary', epoch: 99, received: 5, applied: 5, results: [1], position: 1 },
          random,
        ),
      };
    }
    await faultyMember.network.serve(identifiers.address(slot.place.address), {
      routes: [
        { method: 'GET', path: '/state', handle },
        { method: 'POST', path: '/run', handle },
        { method: 'POST', path: '/open', handle },
      ],
    });
  }
});

When('{word} is started {int} times on a disk with one corrupted entry', async function when(this: Story, core: string, times: number) {
  const slot = coreOf(this, core);
  this.stops = [];
  await this.fleet.world.run(500);
  const validEntries = [...slot.disk.entries];
  for (let attempt = 0; attempt < times; attempt += 1) {
    this.fleet.stopSlot(slot);
    slot.disk = this.fleet.world.disk();
    const index = Math.floor(this.fleet.world.fraction() * validEntries.length);
    validEntries.forEach(([key, value], at) =>
      slot.disk.entries.set(
        key,
        at === index ? (JSON.stringify(fuzz.corrupt(JSON.parse(value), this.fleet.world.fraction)) ?? 'null') : value,
      ),
    );
    await this.fleet.startCore(slot);
    const opened = await this.fleet.runUntil(() => slot.running?.isOpen() === true || slot.process?.alive() === false, 10_000);
    const reason = slot.process?.stopReason() ?? Option.none;
    const isFleetEntry = validEntries[index]?.[0] === 'fleet';
    this.stops.push(Option.isSome(reason) ? `${fault.kind(reason.value)} ${isFleetEntry}` : opened ? 'opened' : 'not open');
  }
});

Then('each start opened within 10 s, or was refused as {string} because of its fleet entry', function then(this: Story, kind: string) {
  assert.deepEqual(
    this.stops.filter((stop) => stop !== `${kind} true` && stop !== 'opened'),
    [],
  );
});

Then('some replaced their stored data', function then(this: Story) {
  assert.ok(this.fleet.world.logs.some((line) => line.event === 'disk.replaced'));
});

Then('every process still runs', function then(this: Story) {
  for (const slot of this.fleet.cores) assert.equal(slot.process?.alive(), true, slot.name);
  for (const slot of this.fleet.edges) {
    assert.equal(slot.agent.process?.alive(), true, slot.name);
    assert.equal(slot.proxy.process?.alive(), true, slot.name);
  }
});

Then('every malformed request got a reply, and none with an unknown key was served', function then(this: Story) {
  const replies = this.spoilt.flat();
  assert.ok(replies.length > 400);
  for (const reply of replies) assert.ok(reply.status >= 200 && reply.status !== 500, JSON.stringify(reply));
  (this.spoilt[0] ?? []).forEach((reply, attempt) =>
    assert.ok(reply.status !== 200 || attempt % 3 === 0, 'a request with an unknown key was served'),
  );
});

Given('{int} malformed configurations and settings', async function given(this: Story, count: number) {
  this.world = worlds.create(11);
  const fleet = fleets.create(11, redComun);
  const example = {
    node: 'core-1',
    area: 'north',
    address: '127.0.0.1:1',
    outward: '127.0.0.1:2',
    seeds: ['127.0.0.1:1', '127.0.0.1:3', '127.0.0.1:4'],
    platform: '127.0.0.1:9',
    data: 'data',
    cores: 3,
  };
  this.checked = Array.from({ length: count }, (_, index) =>
    index % 2 === 0
      ? placements.validate(fuzz.corrupt(fleet.defaultConfiguration(), this.world.fraction))
      : settings.read(coreSettings, undefined, (fuzz.corrupt(example, this.world.fraction) ?? {}) as Record<string, unknown>),
  );
});

Then('each is either accepted or rejected with a remedy', function then(this: Story) {
  const rejected = this.checked.flatMap((one) => (Either.isLeft(one) ? [one.left] : []));
  assert.ok(rejected.length > this.checked.length / 2 && rejected.length < this.checked.length);
  for (const one of rejected) assert.ok(fault.details(one).remedy.length > 0);
});
