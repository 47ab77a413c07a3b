/** Steps of cores.feature about cores that do not serve: what they log, and how soon the configuration can be read again (design 4.9). */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import type { CoreFleet } from '@stallstall/simulator';

type OpeningStory = { cores: CoreFleet };

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
