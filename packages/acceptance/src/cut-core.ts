/** Steps of cut-core.feature: what a core confirms while no majority answers it (design 7.14). */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { PlatformApi } from '@stallstall/core';
import { http, identifiers, type HttpReply } from '@stallstall/kernel';
import { memberRegistryService, type Registration } from '@stallstall/member-registry';
import { coreFleet, type CoreFleet, type CoreMachine } from '@stallstall/simulator';

type Operation = 'beat' | 'draining' | 'leave' | 'configuration' | 'read';

type CutCoreStory = {
  cores: CoreFleet;
  operator: Readonly<{ stop: () => void }>;
  lostEdge: ReturnType<CoreFleet['startEdge']>;
  lostCore: CoreMachine;
  frozenAnswers: readonly Answer[];
};

type Answer = Readonly<{ operation: Operation; confirmed: boolean; after: number }>;

/** How long a story waits for any answer at all. */
const patienceMilliseconds = 12_000;
const lookMilliseconds = 10;

/** Higher than any version the operator of the stories sends. */
let version = 1_000_000;
let sequence = 0;

function registration(member: string, draining: boolean): Registration {
  sequence += 1;
  return { member, service: 'bookings', address: '10.3.0.1:5000', area: 'north', draining, role: 'replica', slots: 4, sequence };
}

function platformApiOf(machine: CoreMachine): PlatformApi {
  assert.ok(machine.platformApi !== undefined, `${machine.name} does not run`);
  return machine.platformApi;
}

async function perform(fleet: CoreFleet, machine: CoreMachine, operation: Operation): Promise<boolean> {
  const platformApi = platformApiOf(machine);
  version += 1;
  switch (operation) {
    case 'beat':
      return platformApi.heartbeat(registration('bookings-7', false));
    case 'draining':
      return platformApi.heartbeat(registration('bookings-8', true));
    case 'leave':
      return platformApi.leave('bookings-9');
    case 'configuration':
      return Either.isRight(await platformApi.configure({ version, source: String(version) }, fleet.configuration));
    case 'read':
      return Either.isRight(await platformApi.readSource());
  }
}

/** Asks for all of these at once, and waits for every answer. */
async function answersOf(fleet: CoreFleet, machine: CoreMachine, operations: readonly Operation[]): Promise<readonly Answer[]> {
  const answers: Answer[] = [];
  for (const operation of operations) {
    const asked = fleet.world.now();
    void perform(fleet, machine, operation).then((confirmed) => answers.push({ operation, confirmed, after: fleet.world.now() - asked }));
  }
  await fleet.runUntil(() => answers.length === operations.length, patienceMilliseconds);
  assert.equal(answers.length, operations.length, `only ${answers.map((one) => one.operation).join(', ')} were answered`);
  return answers;
}

function assertDenied(answers: readonly Answer[], milliseconds: number): void {
  for (const { operation, confirmed, after } of answers) {
    assert.equal(confirmed, false, `${operation} was confirmed after ${Math.round(after)} ms`);
    assert.ok(after <= milliseconds, `${operation} was answered after ${Math.round(after)} ms`);
  }
}

function everyoneElse(fleet: CoreFleet, machine: CoreMachine): readonly string[] {
  return [...fleet.machines.map((one) => one.machine), 'edge-machine'].filter((one) => one !== machine.machine);
}

When('core-{int} is cut off from what it sends', function when(this: CutCoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  for (const other of everyoneElse(this.cores, machine)) this.cores.world.cut(machine.machine, other);
});

When('core-{int} is cut off from what is sent to it', function when(this: CutCoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  for (const other of everyoneElse(this.cores, machine)) this.cores.world.cut(other, machine.machine);
});

When('core-{int} is cut off from its peers alone', function when(this: CutCoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  for (const other of this.cores.machines.filter((one) => one !== machine)) {
    this.cores.world.cut(machine.machine, other.machine);
    this.cores.world.cut(other.machine, machine.machine);
  }
});

When('{int} ms of cores pass', async function when(this: CutCoreStory, milliseconds: number) {
  await this.cores.world.run(milliseconds);
});

When('the operator sends a configuration every {int} ms', function when(this: CutCoreStory, milliseconds: number) {
  this.operator.stop();
  this.operator = this.cores.startOperator(milliseconds);
});

/** The longest time within so many seconds in which the edge applied no newer configuration. */
async function longestStandstill(fleet: CoreFleet, seconds: number): Promise<number> {
  const { clock } = fleet.operatorRuntime;
  const until = clock.now() + seconds * 1_000;
  let [applied, appliedAt, longest] = [0, clock.now(), 0];
  while (clock.now() < until) {
    await fleet.world.run(lookMilliseconds);
    const current = fleet.edge.configuration();
    const version = Option.isSome(current) ? current.value.version : 0;
    longest = Math.max(longest, clock.now() - appliedAt);
    if (version > applied) [applied, appliedAt] = [version, clock.now()];
  }
  return longest;
}

Then(
  'for {int} s configurations are acknowledged, and the edge applies a newer one at least every {int} ms',
  { timeout: 60_000 },
  async function then(this: CutCoreStory, seconds: number, milliseconds: number) {
    const before = this.cores.highestAcknowledgedVersion();
    const longest = await longestStandstill(this.cores, seconds);
    this.operator.stop();
    const acknowledged = this.cores.highestAcknowledgedVersion() - before;
    assert.ok(acknowledged > seconds, `${acknowledged} configurations were acknowledged`);
    assert.ok(longest <= milliseconds, `no newer configuration was applied for ${Math.round(longest)} ms`);
  },
);

When('core-{int} is cut off both ways', function when(this: CutCoreStory, index: number) {
  this.cores.isolate(this.cores.machine(`core-${index}`));
});

Then(
  'core-{int} confirms no beat, no draining, no leave, no configuration and no read, and says so within {int} ms',
  async function then(this: CutCoreStory, index: number, milliseconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    assertDenied(await answersOf(this.cores, machine, ['beat', 'draining', 'leave', 'configuration', 'read']), milliseconds);
  },
);

Then(
  'core-{int} confirms no draining, no leave, no configuration and no read, and says so within {int} ms',
  async function then(this: CutCoreStory, index: number, milliseconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    assertDenied(await answersOf(this.cores, machine, ['draining', 'leave', 'configuration', 'read']), milliseconds);
  },
);

Then(
  'within {int} s core-{int} confirms a beat, a draining, a leave and a configuration, and reads the newest one',
  async function then(this: CutCoreStory, seconds: number, index: number) {
    const machine = this.cores.machine(`core-${index}`);
    await this.cores.world.run(seconds * 1_000);
    for (const answer of await answersOf(this.cores, machine, ['beat', 'draining', 'leave', 'configuration']))
      assert.ok(answer.confirmed, `${answer.operation} was not confirmed`);
    const newest = version;
    assert.deepEqual(await this.cores.readVersion(machine), Option.some(newest));
  },
);

/** A page of a core's own administration, asked from a machine that every core can reach. */
async function page(fleet: CoreFleet, machine: CoreMachine, path: string): Promise<Readonly<{ reply: HttpReply; after: number }>> {
  const asked = fleet.world.now();
  let found: HttpReply | undefined;
  const asking = http.exchangeOnce(
    fleet.operatorRuntime,
    identifiers.address(machine.outward),
    { method: 'GET', path },
    patienceMilliseconds,
  );
  void asking.then((reply) => {
    found = Either.isRight(reply) ? reply.right : { status: 0, body: null };
  });
  await fleet.runUntil(() => found !== undefined, patienceMilliseconds);
  assert.ok(found !== undefined, `${path} was not answered`);
  return { reply: found, after: fleet.world.now() - asked };
}

Then(
  'core-{int} answers a read of its sheet with 503 and Retry-After within {int} ms',
  async function then(this: CutCoreStory, index: number, milliseconds: number) {
    const { reply, after } = await page(this.cores, this.cores.machine(`core-${index}`), '/v1/sheet');
    assert.equal(reply.status, 503);
    assert.ok(reply.headers?.['retry-after'] !== undefined);
    assert.ok(after <= milliseconds, `after ${Math.round(after)} ms`);
  },
);

Then('core-{int} answers its status within {int} ms', async function then(this: CutCoreStory, index: number, milliseconds: number) {
  const { reply, after } = await page(this.cores, this.cores.machine(`core-${index}`), '/v1/fleet');
  assert.equal(reply.status, 200);
  assert.ok(after <= milliseconds, `after ${Math.round(after)} ms`);
});

When(
  'core-{int} is frozen for {int} s, and is told a draining, a leave and a configuration meanwhile',
  async function when(this: CutCoreStory, index: number, seconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    assert.ok(machine.process !== undefined);
    this.cores.world.freeze(machine.process, seconds * 1_000);
    await this.cores.world.run(seconds * 1_000);
    const answers = await answersOf(this.cores, machine, ['draining', 'leave', 'configuration']);
    this.frozenAnswers = answers;
  },
);

/** In the moment of its thaw nobody has answered it yet: what it confirms then, it confirms by itself. */
Then('it confirmed none of them by itself, and every later read is the newest', async function then(this: CutCoreStory) {
  assertDenied(this.frozenAnswers, 100);
  await this.cores.world.run(3_000);
  assert.deepEqual(this.cores.violations, []);
  this.operator.stop();
});

When('{string} and {string} beat to core-{int}', async function when(this: CutCoreStory, one: string, other: string, index: number) {
  for (const member of [one, other]) void platformApiOf(this.cores.machine(`core-${index}`)).heartbeat(registration(member, false));
  await this.cores.world.run(300);
});

When('{string} leaves at core-{int}', async function when(this: CutCoreStory, member: string, index: number) {
  void platformApiOf(this.cores.machine(`core-${index}`)).leave(member);
  await this.cores.world.run(lookMilliseconds);
});

When(
  'core-{int} is killed and comes back after {int} s with an empty member registry',
  async function when(this: CutCoreStory, index: number, seconds: number) {
    const machine = this.cores.machine(`core-${index}`);
    this.cores.kill(machine);
    machine.disk.entries.delete('roster');
    await this.cores.world.run(seconds * 1_000);
    await this.cores.start(machine, false);
    assert.ok(await this.cores.runUntil(() => machine.running?.isOpen() === true, 5_000));
    // In touch with the others, and not a moment longer: a later one would have been told by them.
    await this.cores.world.run(lookMilliseconds);
  },
);

function hasLeft(machine: CoreMachine, member: string): boolean {
  const entry = machine.process?.runtime.services.find(memberRegistryService).recordOf(member);
  return entry !== undefined && Option.isSome(entry) && entry.value.gone;
}

Then('within {int} s all cores know that {string} has left', async function then(this: CutCoreStory, seconds: number, member: string) {
  const { machines } = this.cores;
  assert.ok(
    await this.cores.runUntil(() => machines.every((machine) => hasLeft(machine, member)), seconds * 1_000),
    machines.map((machine) => `${machine.name}: ${hasLeft(machine, member)}`).join(', '),
  );
  this.operator.stop();
});

When('an edge and a blank machine begin that reach core-{int} alone', async function when(this: CutCoreStory, index: number) {
  const machine = this.cores.machine(`core-${index}`);
  const others = this.cores.machines.filter((one) => one !== machine);
  this.lostEdge = this.cores.startEdge('edge-2', [machine.address]);
  for (const other of others) {
    this.cores.world.cut(this.lostEdge.machine, other.machine);
    this.cores.world.cut(other.machine, this.lostEdge.machine);
  }
  this.lostCore = await this.cores.startBlankCore([machine.address]);
  for (const other of others) {
    this.cores.world.cut(this.lostCore.machine, other.machine);
    this.cores.world.cut(other.machine, this.lostCore.machine);
  }
  this.cores.world.heal(this.lostCore.machine, machine.machine);
  this.cores.world.heal(machine.machine, this.lostCore.machine);
});

Then('that edge obeys no configuration and holds no lease, and that machine is of no set', function then(this: CutCoreStory) {
  const { edge, runtime } = this.lostEdge;
  assert.ok(Option.isNone(edge.configuration()));
  assert.ok(edge.leaseUntil(this.cores.service) <= runtime.clock.now());
  assert.deepEqual(this.cores.coreSetOf(this.lostCore).cores, []);
});

Then(
  'within {int} s that edge obeys the newest configuration and holds its lease',
  async function then(this: CutCoreStory, seconds: number) {
    const { edge, runtime } = this.lostEdge;
    assert.ok(
      await this.cores.runUntil(
        () => Option.isSome(edge.configuration()) && edge.leaseUntil(this.cores.service) > runtime.clock.now(),
        seconds * 1_000,
      ),
    );
    this.operator.stop();
  },
);

When(
  'the time of day of core-{int} jumps by {int} s, and back after {int} s',
  async function when(this: CutCoreStory, index: number, seconds: number, after: number) {
    const { process } = this.cores.machine(`core-${index}`);
    assert.ok(process !== undefined);
    this.cores.world.stepWallClock(process, seconds * 1_000);
    await this.cores.world.run(after * 1_000);
    this.cores.world.stepWallClock(process, -seconds * 1_000);
  },
);

// -- A step whose proposer is cut off.

/** How far apart the moments lie, from before the step is decided until it has been told to everyone. */
const momentMilliseconds = 2.5;
/** By then contact has ended: what the proposer confirms later it confirms alone. */
const contactOverMilliseconds = 1_000;

async function proposerOfStep(fleet: CoreFleet): Promise<CoreMachine> {
  function proposer(): string | undefined {
    return fleet.world.logs.find((line) => line.event === 'core.proposes')?.process;
  }
  for (let spent = 0; proposer() === undefined && spent < patienceMilliseconds; spent += 1) await fleet.world.run(1);
  const found = proposer();
  assert.ok(found !== undefined, 'nobody proposed a step');
  return fleet.machine(found);
}

/** All that run and are open stand at one set. */
function standTogether(fleet: CoreFleet): boolean {
  const sets = fleet.machines.filter((machine) => machine.running?.isOpen() === true).map((machine) => fleet.coreSetOf(machine));
  return sets.length >= 3 && sets.every((set) => set.number === sets[0]?.number);
}

async function cutProposerAt(moment: number, seconds: number): Promise<void> {
  // Of five seats one is vacant and its proposer is cut off: the three others are a majority.
  const fleet = await coreFleet.create(40 + moment, 5);
  const operator = fleet.startOperator();
  await fleet.world.run(1_000);
  fleet.kill(fleet.machine('core-5'));
  await fleet.startBlankCore(fleet.machines.map((machine) => machine.address));
  const proposer = await proposerOfStep(fleet);
  await fleet.world.run(moment * momentMilliseconds);
  fleet.isolate(proposer);
  await fleet.world.run(contactOverMilliseconds);
  const alone = fleet.acknowledgementsBy(proposer.name);
  const together = fleet.highestAcknowledgedVersion();
  await fleet.world.run(seconds * 1_000 - contactOverMilliseconds);
  assert.equal(fleet.acknowledgementsBy(proposer.name), alone, `${moment}: the proposer confirmed orders by itself`);
  assert.ok(fleet.highestAcknowledgedVersion() > together, `${moment}: the others confirm no order`);
  fleet.healAll();
  assert.ok(await fleet.runUntil(() => standTogether(fleet), 20_000), `${moment}: the cores stand apart`);
  operator.stop();
  await fleet.world.run(2_000);
  assert.deepEqual(fleet.violations, []);
  const newest = fleet.highestAcknowledgedVersion();
  const read = await fleet.readVersion(proposer);
  assert.ok(Option.isNone(read) || read.value >= newest, `${moment}: ${JSON.stringify(read)} was read after ${newest}`);
}

Then(
  'a step ends well though its proposer is cut off for {int} s at any of {int} moments around it',
  async function then(seconds: number, moments: number) {
    for (let moment = 0; moment < moments; moment += 1) await cutProposerAt(moment, seconds);
  },
);

const leaver = 'bookings-6';

When(
  'a member beats at core-{int}, and {int} s later says at core-{int} that it leaves',
  async function when(this: CutCoreStory, first: number, seconds: number, second: number) {
    const fleet = this.cores;
    void platformApiOf(fleet.machine(`core-${first}`)).heartbeat(registration(leaver, false));
    await fleet.world.run(seconds * 1_000);
    let acknowledged = false;
    void platformApiOf(fleet.machine(`core-${second}`))
      .leave(leaver)
      .then((confirmed) => (acknowledged = confirmed));
    assert.ok(await fleet.runUntil(() => acknowledged, 1_000), 'the leave was not acknowledged');
  },
);

When('all cores are killed as that is acknowledged, and come back after {int} s', async function when(this: CutCoreStory, seconds: number) {
  const { machines, world } = this.cores;
  for (const machine of machines) this.cores.kill(machine);
  await world.run(seconds * 1_000);
  for (const machine of machines) await this.cores.start(machine, false);
  await world.run(500);
});

Then('a majority of cores knows that it has left', function then(this: CutCoreStory) {
  const knowing = this.cores.machines.filter(function knows(machine) {
    const entry = machine.process?.runtime.services.find(memberRegistryService).recordOf(leaver);
    return entry !== undefined && Option.isSome(entry) && entry.value.gone;
  });
  assert.ok(knowing.length > this.cores.machines.length / 2, `${knowing.length} cores know it`);
});
