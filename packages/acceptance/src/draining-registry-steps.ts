/** Steps of draining.feature for the member registries of several cores, and for an edge that hears stub cores, on virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { MemberRecord } from '@stallstall/message';
import { drainingModel, world as worlds, type World } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { startEdge } from './lease-holder-steps.js';
import { registration, startRegistry } from './member-registry-steps.js';
import type { UnitStory } from './unit-story.js';

type DrainingStory = UnitStory & { world: World; registries: MemberRegistry[]; cutOff: Set<MemberRegistry>; starts: number };

const stepMilliseconds = 1_000;

function newRegistry(story: DrainingStory): MemberRegistry {
  story.starts += 1;
  return startRegistry(story.world, `core-process-${story.starts}`);
}

function registryOf(story: DrainingStory, core: number): MemberRegistry {
  return story.registries[core - 1] as MemberRegistry;
}

function recordIn(registry: MemberRegistry, member: string): MemberRecord {
  const record = registry.recordOf(member);
  assert.ok(Option.isSome(record), `a registry has no record of ${member}`);
  return record.value;
}

function connected(story: DrainingStory): readonly MemberRegistry[] {
  return story.registries.filter((registry) => !story.cutOff.has(registry));
}

/** Each core that is not cut off forwards what it received since the last time. */
function forward(story: DrainingStory): void {
  for (const sender of connected(story)) {
    const heartbeats = sender.takeRecentHeartbeats();
    for (const receiver of connected(story)) if (receiver !== sender) receiver.mergeHeartbeats(heartbeats);
  }
}

/** Each core sends all its records to the others, as to cores that may have missed some. */
function sendAll(story: DrainingStory): void {
  for (const sender of connected(story))
    for (const receiver of connected(story)) if (receiver !== sender) receiver.mergeHeartbeats(sender.snapshot());
}

async function pass(story: DrainingStory, seconds: number): Promise<void> {
  for (let left = seconds * 1_000; left > 0; left -= stepMilliseconds) {
    await story.world.run(Math.min(left, stepMilliseconds));
    for (const registry of story.registries) registry.sweep();
  }
}

function receive(story: DrainingStory, core: number, member: string, sequence: number, isDraining: boolean): void {
  registryOf(story, core).recordHeartbeat(registration(member, sequence, isDraining));
  forward(story);
}

/** One heartbeat a second, to one core after the other; a core asks the member each second while it questions its draining. */
async function serve(story: DrainingStory, member: string, firstSequence: number, replyTo: readonly number[], seconds: number) {
  for (let second = 0; second < seconds; second += 1) {
    receive(story, 1 + (second % story.registries.length), member, firstSequence + second, false);
    await pass(story, 1);
    for (const core of replyTo) {
      const registry = registryOf(story, core);
      if (registry.questionedMembers().some((record) => record.member === member)) registry.recordReply(member);
    }
  }
}

Given('the member registries of 3 cores', function given(this: DrainingStory) {
  this.world = worlds.create(47);
  this.starts = 0;
  this.cutOff = new Set();
  this.registries = [1, 2, 3].map(() => newRegistry(this));
});

When(
  'core {int} receives a {word} heartbeat of {string} with number {int}',
  function when(this: DrainingStory, core: number, phase: string, member: string, sequence: number) {
    receive(this, core, member, sequence, phase === 'draining');
  },
);

When('{float} s go by', async function when(this: DrainingStory, seconds: number) {
  await pass(this, seconds);
});

When('core {int} is cut off from the others', function when(this: DrainingStory, core: number) {
  this.cutOff.add(registryOf(this, core));
});

When('core {int} is no longer cut off', function when(this: DrainingStory, core: number) {
  this.cutOff.delete(registryOf(this, core));
  sendAll(this);
  forward(this);
});

When('all cores restart from their disks', function when(this: DrainingStory) {
  this.registries = this.registries.map((former) => {
    const registry = newRegistry(this);
    registry.restore(former.changedSince(0));
    return registry;
  });
});

When('core {int} is replaced by one with an empty disk', function when(this: DrainingStory, core: number) {
  this.registries[core - 1] = newRegistry(this);
  this.cutOff.add(registryOf(this, core));
});

When('core {int} hears the other cores', function when(this: DrainingStory, core: number) {
  this.cutOff.delete(registryOf(this, core));
  sendAll(this);
  forward(this);
});

When(
  /^"(.+)" sends serving heartbeats from number (\d+) on and replies to (every core|no core|cores 1 and 2), for (\d+) s$/,
  async function when(this: DrainingStory, member: string, sequence: string, replyTo: string, seconds: string) {
    const cores = { 'every core': [1, 2, 3], 'no core': [], 'cores 1 and 2': [1, 2] }[replyTo] as readonly number[];
    await serve(this, member, Number(sequence), cores, Number(seconds));
  },
);

function phasesOf(story: DrainingStory, member: string): readonly string[] {
  return story.registries.map((registry) => (recordIn(registry, member).draining ? 'draining' : 'in service'));
}

Then(/^every core lists "(.+)" as (draining|in service)$/, function then(this: DrainingStory, member: string, phase: string) {
  assert.deepEqual(phasesOf(this, member), [phase, phase, phase]);
});

Then('cores 1 and 2 list {string} as in service, and core 3 as draining', function then(this: DrainingStory, member: string) {
  assert.deepEqual(phasesOf(this, member), ['in service', 'in service', 'draining']);
});

/** What an edge of as many cores sees when each of them reports one record, or nothing. */
async function seenByEdge(records: ReadonlyArray<MemberRecord | undefined>): Promise<string> {
  const story = {} as UnitStory;
  await startEdge(
    story,
    records.map((record) => (record === undefined ? { isSilent: true } : { reply: async () => ({ whole: true, roster: [record] }) })),
  );
  await story.world.run(400);
  const [seen] = story.leaseHolder.members();
  assert.ok(seen !== undefined, 'the edge sees no member');
  return seen.draining ? 'draining' : 'in service';
}

Then(
  /^an edge that hears cores ([\d, and]+) sees "(.+)" as (draining|in service)$/,
  async function then(this: DrainingStory, heard: string, member: string, phase: string) {
    const cores = heard.split(/\D+/).map(Number);
    const records = this.registries.map((registry, index) => (cores.includes(index + 1) ? recordIn(registry, member) : undefined));
    assert.equal(await seenByEdge(records), phase);
  },
);

const reported: Readonly<Record<string, Pick<MemberRecord, 'draining' | 'returned'>>> = {
  'in service': { draining: false, returned: false },
  draining: { draining: true, returned: false },
  returned: { draining: false, returned: true },
};

/** The record of a report such as `draining 9`: what a core reports, and the number of the heartbeat that it stems from. */
function recordOf(report: string, member: string): MemberRecord {
  const [, phase, sequence] = /^(\D+) (\d+)$/.exec(report) as unknown as [string, string, string];
  return { ...registration(member, Number(sequence), false), ...reported[phase], gone: false, down: false } as MemberRecord;
}

type EdgeStory = { seen: string };

Given(/^an edge, and cores that report "(.+)" as (.+)$/, async function given(this: EdgeStory, member: string, reports: string) {
  this.seen = await seenByEdge(reports.split(', ').map((report) => recordOf(report, member)));
});

Then(/^it lists "member-1" as (in service|draining)$/, function then(this: EdgeStory, phase: string) {
  assert.equal(this.seen, phase);
});

Then(
  'in {int} random histories with {int} cores no edge sees a draining member as in service, and the member returns within its bound',
  async function then(count: number, coreCount: number) {
    let acknowledged = 0;
    for (let seed = 1; seed <= count; seed += 1) {
      const history = await drainingModel.explore(seed, { coreCount });
      acknowledged += history.acknowledged;
      assert.deepEqual(history.violations, [], `seed ${seed}: ${history.events.join('; ')}`);
    }
    assert.ok(acknowledged > count, `only ${acknowledged} drainings were acknowledged`);
  },
);
