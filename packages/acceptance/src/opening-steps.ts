/** Steps of cores.feature about cores that do not serve: what they log, and how soon the configuration can be read again (design 4.9). */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { CoreFleet } from '@stallstall/simulator';

type OpeningStory = { cores: CoreFleet; operator: Readonly<{ stop: () => void }>; confirmed: Set<number> };

const operatorPatienceMilliseconds = 1_000;
const operatorPauseMilliseconds = 50;
const slowOperatorMilliseconds = 1_000;
const firstVersionSentAtOnce = 1_000_000;

/** The fields of the latest line that a core has logged under an event. */
function latestLine({ world }: CoreFleet, name: string, event: string): Readonly<Record<string, unknown>> {
  const line = world.logs.findLast((candidate) => candidate.process === name && candidate.event === event);
  assert.ok(line !== undefined, `${name} has not logged ${event}`);
  return line.fields;
}

When('all cores are killed and only core-{int} is restarted', async function when(this: OpeningStory, restarted: number) {
  this.cores.machines.forEach(this.cores.kill);
  await this.cores.world.run(1_000);
  await this.cores.start(this.cores.machine(`core-${restarted}`), false);
});

Then(
  'core-{int} logs once a second that it waits as {string} and has met no other core',
  async function then(this: OpeningStory, index: number, stage: string) {
    const linesBefore = this.cores.world.logs.length;
    await this.cores.world.run(3_500);
    const lines = this.cores.world.logs.slice(linesBefore).filter((line) => line.event === 'core.waits');
    assert.equal(lines.length, 3);
    const { stage: logged, discovered, canWrite } = latestLine(this.cores, `core-${index}`, 'core.waits');
    assert.deepEqual({ logged, discovered, canWrite }, { logged: stage, discovered: '', canWrite: true });
  },
);

When('the disks of core-{int} and core-{int} become full', function when(this: OpeningStory, first: number, second: number) {
  for (const index of [first, second]) this.cores.machine(`core-${index}`).disk.faults.full = true;
});

Then(
  'a configuration sent to core-{int} fails and tells that {string}',
  async function then(this: OpeningStory, index: number, part: string) {
    const replies: Either.Either<Readonly<{ message: string }>, unknown>[] = [];
    const { platformApi } = this.cores.machine(`core-${index}`);
    void platformApi?.configure({ version: 1_000_000, source: '1000000' }, this.cores.configuration).then((reply) => replies.push(reply));
    await this.cores.world.run(2_000);
    const [reply] = replies;
    assert.ok(reply !== undefined && Either.isLeft(reply), 'the configuration was taken');
    assert.ok(reply.left.message.includes(part), reply.left.message);
  },
);

Then('a read of the configuration at core-{int} is logged with its outcome', async function then(this: OpeningStory, index: number) {
  const read = await this.cores.readVersion(this.cores.machine(`core-${index}`));
  assert.ok(read._tag === 'Some');
  assert.match(String(latestLine(this.cores, `core-${index}`, 'configuration.read')['outcome']), /^\d+ characters$/);
});

When(
  'core-{int} misses the last configurations, and then all cores lose power and core-{int} its disk',
  async function when(this: OpeningStory, behind: number, wiped: number) {
    const fleet = this.cores;
    fleet.isolate(fleet.machine(`core-${behind}`));
    const before = fleet.acknowledgementsBy(`core-${wiped}`);
    assert.ok(await fleet.runUntil(() => fleet.acknowledgementsBy(`core-${wiped}`) > before, 10_000), 'nothing was acknowledged');
    this.operator.stop();
    fleet.machines.forEach(fleet.losePower);
    fleet.healAll();
    fleet.machine(`core-${wiped}`).disk = fleet.world.disk();
    await fleet.world.run(1_000);
    await Promise.all(fleet.machines.map((machine) => fleet.start(machine, false)));
  },
);

/** One call of an operator, who goes on to the next core after a second; none without an answer by then. */
async function readWithin(fleet: CoreFleet, name: string, milliseconds: number): Promise<Option.Option<number>> {
  let result: Option.Option<number> = Option.none;
  const reading = fleet.machine(name).platformApi?.readSource();
  void reading?.then((read) => {
    result = Either.isRight(read) ? Option.some(Number(read.right)) : Option.none;
  });
  await fleet.runUntil(() => Option.isSome(result), milliseconds);
  return result;
}

Then(
  'an operator that asks one core after the other reads the acknowledged configuration within {int} s',
  async function then(this: OpeningStory, seconds: number) {
    const fleet = this.cores;
    const until = fleet.world.now() + seconds * 1_000;
    let read: Option.Option<number> = Option.none;
    for (let calls = 0; Option.isNone(read) && fleet.world.now() < until; calls += 1)
      read = await readWithin(fleet, `core-${(calls % fleet.machines.length) + 1}`, operatorPatienceMilliseconds);
    const acknowledged = fleet.highestAcknowledgedVersion();
    assert.ok(Option.isSome(read) && read.value >= acknowledged, `${JSON.stringify(read)} was read, ${acknowledged} was acknowledged`);
  },
);

Then('a read at core-{int} is rejected within {int} ms', async function then(this: OpeningStory, index: number, milliseconds: number) {
  let isRejected = false;
  void this.cores
    .machine(`core-${index}`)
    .platformApi?.readSource()
    .then(function onEnd(read) {
      isRejected = Either.isLeft(read);
    });
  await this.cores.world.run(milliseconds);
  assert.ok(isRejected, 'the read was answered, or is still under way');
});

When(
  'core-{int} misses a configuration, and then the disk of core-{int} is lost and that of core-{int} becomes full',
  async function when(this: OpeningStory, behind: number, wiped: number, full: number) {
    const fleet = this.cores;
    fleet.isolate(fleet.machine(`core-${behind}`));
    const before = fleet.highestAcknowledgedVersion();
    assert.ok(await fleet.runUntil(() => fleet.highestAcknowledgedVersion() > before, 10_000), 'nothing was acknowledged');
    this.operator.stop();
    await fleet.world.run(1_000);
    fleet.kill(fleet.machine(`core-${wiped}`));
    fleet.machine(`core-${full}`).disk.faults.full = true;
    fleet.healAll();
    await fleet.world.run(1_000);
  },
);

Then('core-{int} serves again within {int} s', async function then(this: OpeningStory, index: number, seconds: number) {
  const machine = this.cores.machine(`core-${index}`);
  assert.ok(await this.cores.runUntil(() => machine.running?.isOpen() === true, seconds * 1_000), `core-${index} does not serve`);
});

When('writes of the configuration take {int} ms, one after the other', function when(this: OpeningStory, milliseconds: number) {
  this.operator.stop();
  this.operator = this.cores.startOperator(slowOperatorMilliseconds);
  this.cores.slowConfigurationWrites(milliseconds);
});

/** Sends a version to one core after the other, going on after a rejection or a second without a reply, until it is confirmed. */
function sendUntilConfirmed({ cores: fleet, confirmed }: OpeningStory, version: number, firstCore: number): void {
  let calls = firstCore;
  function send(): void {
    const machine = fleet.machines[calls % fleet.machines.length];
    calls += 1;
    let isOver = false;
    function next(): void {
      if (isOver) return;
      isOver = true;
      if (!confirmed.has(version)) fleet.world.schedule(operatorPauseMilliseconds, send);
    }
    fleet.world.schedule(operatorPatienceMilliseconds, next);
    const configured = machine?.platformApi?.configure({ version, source: String(version) }, fleet.configuration);
    if (configured === undefined) return next();
    void configured.then(function onReply(reply) {
      if (Either.isRight(reply)) confirmed.add(version);
      next();
    });
  }
  send();
}

When(
  '{int} configurations are sent at once, each to the next core after a second without an answer',
  function when(this: OpeningStory, count: number) {
    this.confirmed = new Set();
    for (let index = 0; index < count; index += 1) sendUntilConfirmed(this, firstVersionSentAtOnce + index, index);
  },
);

Then('all {int} configurations are confirmed within {int} s', async function then(this: OpeningStory, count: number, seconds: number) {
  await this.cores.runUntil(() => this.confirmed.size === count, seconds * 1_000);
  assert.equal(this.confirmed.size, count);
});
