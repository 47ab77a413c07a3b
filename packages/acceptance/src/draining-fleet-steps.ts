/** Steps of draining.feature for pooled fleets: a replica drains, and late heartbeats or a new process of it follow. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { SessionMember } from '@stallstall/fakes';
import type { PooledMember } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import { cutOff, edge, primary, type PooledStory } from './pooled-story.js';

type DrainingFleetStory = PooledStory & { replica: PooledMember; acknowledgedAt: number };

function coreMachines({ pooled }: PooledStory): readonly string[] {
  return pooled.cores.map((slot) => slot.machine);
}

function runningReplica({ pooled }: PooledStory, service: string): PooledMember {
  const primary = pooled.primaryOf(service);
  return pooled.members.find((slot) => slot.service === service && slot !== primary && slot.running !== undefined) as PooledMember;
}

async function reportDraining(story: DrainingFleetStory, service: string): Promise<void> {
  story.replica = runningReplica(story, service);
  const running = story.replica.running as SessionMember;
  void running.drain();
  assert.ok(await story.pooled.until(() => Option.isSome(running.drainingSince()), 5_000), 'no core acknowledged the draining');
  story.acknowledgedAt = story.pooled.world.now();
}

When('a replica of {string} reports that it is draining', async function when(this: DrainingFleetStory, service: string) {
  await reportDraining(this, service);
});

When(
  'a replica of {string} that will serve on for {int} s reports that it is draining',
  async function when(this: DrainingFleetStory, service: string, seconds: number) {
    const { knobs } = runningReplica(this, service).running as SessionMember;
    knobs.drainSpareMilliseconds = seconds * 1_000;
    await reportDraining(this, service);
  },
);

When(
  'the primary of {string} that will serve on for {int} s reports that it is draining',
  function when(this: DrainingFleetStory, service: string, seconds: number) {
    const { drain, knobs } = primary(this, service).running as SessionMember;
    knobs.drainSpareMilliseconds = seconds * 1_000;
    void drain();
  },
);

When(
  'the agent of edge-1 is killed, and another one is started and reaches the cores {float} s later',
  async function when(this: DrainingFleetStory, seconds: number) {
    const slot = edge(this, 'edge-1');
    cutOffFromCores(this, slot.machine, seconds);
    await this.pooled.restartAgent(slot);
  },
);

function cutOffFromCores(story: DrainingFleetStory, machine: string, seconds: number): void {
  const { world } = story.pooled;
  const machines = coreMachines(story);
  cutOff(story, machine, machines);
  world.schedule(seconds * 1_000, function heal() {
    for (const other of machines) {
      world.heal(machine, other);
      world.heal(other, machine);
    }
  });
}

When('it is cut off from the cores for {int} s', function when(this: DrainingFleetStory, seconds: number) {
  cutOffFromCores(this, this.replica.machine, seconds);
});

When('edge-1 is cut off from the cores for {int} s', function when(this: DrainingFleetStory, seconds: number) {
  cutOffFromCores(this, edge(this, 'edge-1').machine, seconds);
});

When('nothing else happens', () => undefined);

When('one core is killed', function when(this: DrainingFleetStory) {
  this.pooled.stopCore(this.pooled.cores[0] as PooledStory['pooled']['cores'][number]);
});

When('every core is killed and started again', async function when(this: DrainingFleetStory) {
  for (const slot of this.pooled.cores) this.pooled.stopCore(slot);
  await this.pooled.world.run(300);
  for (const slot of this.pooled.cores) await this.pooled.startCore(slot);
});

When('edge-1 is killed and started again', async function when(this: DrainingFleetStory) {
  this.pooled.killEdge(edge(this, 'edge-1'));
  await this.pooled.world.run(300);
  await this.pooled.startEdge(edge(this, 'edge-1'));
});

/** A heartbeat of the replica, in service, that a core receives only now; resolves to the status of the core's reply. */
async function receiveLate({ pooled, replica }: DrainingFleetStory, coreIndex: number, sequence: number): Promise<number> {
  const { service, member, address, area } = replica;
  const heartbeat = { service, address, area, draining: false, role: 'replica', slots: 10, sequence };
  return (await pooled.drive(pooled.call(coreIndex, `/members/${member}/beat`, heartbeat))).status;
}

When(
  'a heartbeat that it sent before arrives {float} s after the acknowledgement',
  async function when(this: DrainingFleetStory, seconds: number) {
    await this.pooled.world.run(this.acknowledgedAt + seconds * 1_000 - this.pooled.world.now());
    assert.equal(await receiveLate(this, 1, 1), 200);
  },
);

When(
  /^a heartbeat that it sent before arrives (at core-3 )?every (\d+) s for (\d+) s$/,
  async function when(this: DrainingFleetStory, core: string | null, interval: string, seconds: string) {
    for (let sequence = 1; sequence * Number(interval) <= Number(seconds); sequence += 1) {
      await this.pooled.world.run(Number(interval) * 1_000);
      await receiveLate(this, core === null ? 1 : 2, sequence);
    }
  },
);

When('core-3 is cut off from the other cores', function when(this: DrainingFleetStory) {
  const [first, second, third] = coreMachines(this) as [string, string, string];
  cutOff(this, third, [first, second]);
  this.startedAt = this.pooled.world.now();
});

Then('core-3 has not taken it as in service', function then(this: DrainingFleetStory) {
  const turns = this.pooled.world.logs.filter(
    (line) => line.process === 'core-3' && line.event === 'member.in-service' && line.fields['member'] === this.replica.member,
  );
  assert.deepEqual(
    turns.filter((line) => line.at > this.startedAt).map((line) => Math.round(line.at - this.startedAt)),
    [],
  );
});

Then('it was not read later than {int} s after the acknowledgement', function then(this: DrainingFleetStory, seconds: number) {
  const reads = this.pooled.runs.filter((run) => run.member === this.replica.member && run.kind === 'get' && run.first);
  assert.ok(
    reads.some((run) => run.at < this.acknowledgedAt),
    'it was never read',
  );
  const late = reads.filter((run) => run.at > this.acknowledgedAt + seconds * 1_000);
  assert.deepEqual(
    late.map((run) => `${run.identifier} at ${Math.round(run.at - this.acknowledgedAt)} ms`),
    [],
  );
});

When(
  'it crashes {int} s later and starts anew {int} s after that, in service',
  async function when(this: DrainingFleetStory, crashSeconds: number, startSeconds: number) {
    await this.pooled.world.run(crashSeconds * 1_000);
    this.pooled.stopMember(this.replica);
    await this.pooled.world.run(startSeconds * 1_000);
    await this.pooled.startMember(this.replica);
  },
);

Then('within {int} s every edge lists it as in service, and it is read', async function then(this: DrainingFleetStory, seconds: number) {
  const { pooled, replica } = this;
  function isListed(): boolean {
    return pooled.edges.every((slot) => slot.proxy?.view().members.get(replica.member)?.draining === false);
  }
  assert.ok(await pooled.until(isListed, seconds * 1_000), 'an edge lists it as draining');
  const listedAt = pooled.world.now();
  await pooled.world.run(3_000);
  assert.ok(
    pooled.runs.some((run) => run.member === replica.member && run.kind === 'get' && run.at > listedAt),
    'it is not read',
  );
});
