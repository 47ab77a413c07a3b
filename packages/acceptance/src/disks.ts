/** Steps of disks.feature about disks that are full, hang, or have lost part of their data. */
import assert from 'node:assert/strict';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers } from '@stallstall/kernel';
import type { Request } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { coreOf, type Story } from './story.js';

const timeoutMilliseconds = 10_000;

When('the disk of {word} is full', function when(this: Story, core: string) {
  coreOf(this, core).disk.faults.failing = true;
});

When('the disk of {word} hangs', function when(this: Story, core: string) {
  coreOf(this, core).disk.faults.hanging = true;
});

When('the disk of {word} is repaired, and {int} s pass', async function when(this: Story, core: string, seconds: number) {
  Object.assign(coreOf(this, core).disk.faults, { failing: false, hanging: false });
  await this.fleet.world.run(seconds * 1_000);
});

When(
  '{word} accepts {int} configurations, each within {int} s',
  async function when(this: Story, core: string, times: number, seconds: number) {
    const index = this.fleet.cores.indexOf(coreOf(this, core));
    for (let attempt = 0; attempt < times; attempt += 1) {
      const from = this.fleet.world.now();
      const reply = await this.fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet: this.fleet.defaultConfiguration() }, {}, index);
      assert.equal(reply.status, 200, JSON.stringify(reply.body));
      assert.ok(this.fleet.world.now() - from < seconds * 1_000);
    }
  },
);

/** Opens a link to a core, as another node would. */
async function dialCore(story: Story, core: string): Promise<ReturnType<typeof peer.dial>> {
  const { runtime } = story.fleet.world.spawn(`client of ${core}`, 'client-machine');
  const link = peer.dial(runtime, identifiers.address(story.fleet.coreAddresses(coreOf(story, core)).address));
  assert.ok(await story.fleet.runUntil(link.isConnected, timeoutMilliseconds));
  return link;
}

/** Runs virtual time until the call has a reply. */
async function replyTo<Reply>(story: Story, call: Promise<Option.Option<Reply>>): Promise<Reply> {
  let reply: Option.Option<Reply> = Option.none;
  void call.then((received) => (reply = received));
  await story.fleet.runUntil(() => Option.isSome(reply), timeoutMilliseconds);
  const received = reply as Option.Option<Reply>;
  assert.ok(Option.isSome(received), 'no reply was received');
  return received.value;
}

Then('{word} rejects prepare, accept and report calls', async function then(this: Story, core: string) {
  const link = await dialCore(this, core);
  const ballot = { counter: 1_000_000, node: 'client' };
  const prepared = await replyTo(this, link.call('prepare', { key: 'configuration', ballot }, timeoutMilliseconds));
  assert.equal(prepared.ready, false);
  const entry: Request<'accept'>['entry'] = { ballot, version: 99, value: null };
  assert.equal((await replyTo(this, link.call('accept', { key: 'configuration', entry }, timeoutMilliseconds))).ready, false);
  const note: Request<'note'> = { floors: {}, reports: [], through: { 'edge-1': 1 } };
  assert.equal((await replyTo(this, link.call('note', note, timeoutMilliseconds))).ready, false);
  link.close();
});

Then('{word} replies with its accepted entry while its disk hangs', async function then(this: Story, core: string) {
  const link = await dialCore(this, core);
  const lookReply = await replyTo(this, link.call('look', { key: 'configuration' }, timeoutMilliseconds));
  assert.ok(lookReply.ready && coreOf(this, core).disk.faults.hanging);
  link.close();
});

async function doesDiskSync(story: Story, core: string): Promise<boolean> {
  const reply = await story.fleet.sendOperatorRequest('GET', '/v1/liveness', undefined, {}, story.fleet.cores.indexOf(coreOf(story, core)));
  const { checks } = reply.body as { checks: ReadonlyArray<Readonly<{ check: string; sound: boolean }>> };
  return checks.find((result) => result.check === 'disk-syncs')?.sound ?? false;
}

function assertLogged(story: Story, core: string, event: string, times: number): void {
  assert.equal(story.fleet.world.logs.filter((line) => line.process === core && line.event === event).length, times, event);
}

Then(
  'core-{int} has logged {string} once and {string} {int} times, and its liveness check {string} fails',
  async function then(this: Story, index: number, failed: string, works: string, times: number, _check: string) {
    assertLogged(this, `core-${index}`, failed, 1);
    assertLogged(this, `core-${index}`, works, times);
    assert.equal(await doesDiskSync(this, `core-${index}`), false);
  },
);

Then(
  'core-{int} has logged {string} once and {string} {int} times, and its liveness check {string} passes',
  async function then(this: Story, index: number, failed: string, works: string, times: number, _check: string) {
    assertLogged(this, `core-${index}`, failed, 1);
    assertLogged(this, `core-${index}`, works, times);
    assert.equal(await doesDiskSync(this, `core-${index}`), true);
  },
);

// -- Stores that have lost part of their data.

type Entries = Map<string, string>;

/** Truncates the first entry under a prefix to half of its length. */
function halve(entries: Entries, prefix: string): void {
  const key = [...entries.keys()].find((candidate) => candidate.startsWith(prefix));
  assert.ok(key !== undefined, `no entry is stored under ${prefix}`);
  const text = entries.get(key) as string;
  entries.set(key, text.slice(0, text.length / 2));
}

/** Changes fields of the stored fleet record. */
function changeFleetRecord(entries: Entries, changes: Readonly<Record<string, unknown>>): void {
  entries.set('fleet', JSON.stringify({ ...(JSON.parse(entries.get('fleet') ?? '{}') as object), ...changes }));
}

const losses: Readonly<Record<string, (entries: Entries) => void>> = {
  'the fleet record': (entries) => entries.delete('fleet'),
  'a field of the fleet record': (entries) => changeFleetRecord(entries, { stage: 'halfway' }),
  'half of a cell': (entries) => halve(entries, 'register/configuration'),
  'half of a vote': (entries) => halve(entries, 'vote/'),
  'half of an edge report': (entries) => halve(entries, 'notes/'),
  'the put count': (entries) => entries.delete('#puts'),
  everything: (entries) => entries.clear(),
  'its own node name': (entries) => changeFleetRecord(entries, { node: 'core-1' }),
};

function loggedSince(story: Story, core: string, from: number): ReadonlySet<string> {
  return new Set(story.fleet.world.logs.slice(from).flatMap((line) => (line.process === core ? [line.event] : [])));
}

async function restartResult(story: Story, core: string): Promise<string> {
  const slot = coreOf(story, core);
  const from = story.fleet.world.logs.length;
  await story.fleet.startCore(slot);
  await story.fleet.runUntil(() => slot.running?.isOpen() === true || slot.process?.alive() === false, timeoutMilliseconds);
  const stoppedBy = slot.process?.stopReason() ?? Option.none;
  if (Option.isSome(stoppedBy)) return fault.kind(stoppedBy.value) === 'foreign-disk' ? 'refused' : fault.kind(stoppedBy.value);
  assert.equal(slot.running?.isOpen(), true, 'the core did not open');
  const logged = loggedSince(story, core, from);
  assert.ok(logged.has('core.copying'), 'the core copied nothing');
  return logged.has('disk.replaced') ? 'replaced' : logged.has('core.old-disk') ? 'old' : 'copying';
}

Then('{word} restarts as follows after its disk has lost data:', async function then(this: Story, core: string, table: DataTable) {
  const slot = coreOf(this, core);
  for (const [lost = '', expected = ''] of table.rows()) {
    this.fleet.stopSlot(slot);
    const entries = new Map(slot.disk.entries);
    losses[lost]?.(entries);
    slot.disk = this.fleet.world.disk();
    for (const [key, value] of entries) slot.disk.entries.set(key, value);
    assert.equal(await restartResult(this, core), expected, lost);
    await this.fleet.world.run(1_000);
  }
});

When('every core loses half of a cell and restarts', async function when(this: Story) {
  for (const slot of this.fleet.cores) this.fleet.stopSlot(slot);
  for (const slot of this.fleet.cores) {
    losses['half of a cell']?.(slot.disk.entries);
    await this.fleet.startCore(slot);
  }
});

Then('no core serves ballots, and each has logged {string}', function then(this: Story, event: string) {
  for (const slot of this.fleet.cores) {
    assert.equal(slot.running?.isOpen(), false, slot.name);
    assert.ok(loggedSince(this, slot.name, 0).has(event));
  }
});
