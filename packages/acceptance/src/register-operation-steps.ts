/** Steps of registers.feature: how a proposer deals with replicas that reject it or stay silent, and with its own operations (design 5.8). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Ballot, Reply } from '@stallstall/message';
import { acceptor, proposer, type CoreSetRegister, type RegisterReplica } from '@stallstall/register';
import { world as worlds, type World } from '@stallstall/simulator';

type RegisterStory = {
  world: World;
  register: CoreSetRegister;
  /** How many ballots each replica was asked to promise. */
  prepares: number;
  results: string[];
};

const replicaNames = ['core-1', 'core-2', 'core-3'];
const replyMilliseconds = 2;

/** A replica that has promised ballot 100 to another proposer and has accepted nothing. */
function rejectingReplica({ world }: RegisterStory, core: string): RegisterReplica {
  return {
    core,
    send: async function send(_call, body) {
      await new Promise<void>((resolve) => world.schedule(replyMilliseconds, resolve));
      const { ballot, entry } = body as Readonly<{ ballot?: Ballot; entry?: Readonly<{ ballot: Ballot }> }>;
      const counter = (ballot ?? entry?.ballot)?.counter ?? 0;
      const reply: Reply<'prepare'> = { ready: true, agreed: counter > 100, promised: { counter: 100, node: 'other' }, accepted: null };
      return Option.some(reply as never);
    },
  };
}

function silentReplica({ world }: RegisterStory, core: string): RegisterReplica {
  return {
    core,
    send: (_call, _body, milliseconds) =>
      new Promise((resolve) => {
        world.schedule(milliseconds, () => resolve(Option.none));
      }),
  };
}

Given('a register of 3 replicas, of which two have promised a higher ballot and the third is silent', function given(this: RegisterStory) {
  this.world = worlds.create(31);
  const { runtime } = this.world.spawn('proposer', 'proposer-machine');
  const [first, second, third] = replicaNames as [string, string, string];
  const replicas = [rejectingReplica(this, first), rejectingReplica(this, second), silentReplica(this, third)];
  this.register = proposer.create(runtime, { name: 'proposer', replicas: () => replicas, replicaCount: () => replicas.length });
});

Then('a change is chosen within {int} ms', async function then(this: RegisterStory, milliseconds: number) {
  let isChosen = false;
  void this.register
    .change('key', () => Option.some('value'))
    .then(function onEnd(changed) {
      isChosen = Either.isRight(changed);
    });
  await this.world.run(milliseconds);
  assert.ok(isChosen, 'the change is not chosen yet');
});

/** A replica whose disk takes so long for each write; it counts the ballots that it is asked to promise. */
function slowReplica(story: RegisterStory, core: string, milliseconds: number): RegisterReplica {
  const disk = story.world.disk();
  disk.faults.slowMilliseconds = milliseconds;
  const { runtime } = story.world.spawn(core, `${core}-machine`, disk);
  assert.ok(Option.isSome(runtime.disk));
  const cells = acceptor.create({
    disk: runtime.disk.value,
    stored: new Map(),
    onAccepted: () => undefined,
    onDamaged: (error) => assert.fail(error.message),
  });
  cells.open();
  return {
    core,
    send: async function send(call, body) {
      if (call === 'prepare') story.prepares += 1;
      return Option.some((await cells[call](body as never)) as never);
    },
  };
}

function createRegister(story: RegisterStory, writeMilliseconds: readonly number[]): void {
  story.world = worlds.create(32);
  story.prepares = 0;
  story.results = [];
  const replicas = replicaNames.map((core, index) => slowReplica(story, core, writeMilliseconds[index] ?? 0));
  const { runtime } = story.world.spawn('proposer', 'proposer-machine');
  story.register = proposer.create(runtime, { name: 'proposer', replicas: () => replicas, replicaCount: () => replicas.length });
}

Given('a register of 3 replicas whose disks take {int} ms for a write', function given(this: RegisterStory, milliseconds: number) {
  createRegister(this, [milliseconds, milliseconds, milliseconds]);
});

Given(
  'a register of 3 replicas whose disks take {int}, {int} and {int} ms for a write',
  function given(this: RegisterStory, first: number, second: number, third: number) {
    createRegister(this, [first, second, third]);
  },
);

function listOf(entry: Option.Option<Readonly<{ value: unknown }>>): readonly string[] {
  return Option.isSome(entry) ? (entry.value.value as readonly string[]) : [];
}

/** Adds a token to the list that the key holds, and records how that ended. */
function append({ register, results }: RegisterStory, token: string, milliseconds?: number): void {
  const changed = register.change('list', (current) => Option.some([...listOf(current), token]), milliseconds);
  void changed.then(
    (outcome) => results.push(`${token} ${Either.isRight(outcome) ? 'chosen' : 'failed'}`),
    () => results.push(`${token} threw`),
  );
}

function read({ register, results }: RegisterStory): void {
  void register
    .read('list')
    .then((found) => results.push(`read ${Either.isRight(found) ? listOf(found.right).join(' ') || 'nothing' : 'failed'}`));
}

When('{int} changes are made at once', function when(this: RegisterStory, count: number) {
  for (let index = 0; index < count; index += 1) append(this, `change-${index + 1}`);
});

When(
  'a change is made, and {int} ms later it is read while 3 other changes wait',
  async function when(this: RegisterStory, milliseconds: number) {
    append(this, 'first');
    await this.world.run(milliseconds);
    for (const token of ['second', 'third', 'fourth']) append(this, token);
    read(this);
  },
);

When('a change whose decision throws is made, and then another change', function when(this: RegisterStory) {
  void this.register.change('list', () => assert.fail('the decision throws')).catch(() => this.results.push('first threw'));
  append(this, 'second');
});

When('a change is made, and at once another one that has {int} ms', function when(this: RegisterStory, milliseconds: number) {
  append(this, 'first');
  append(this, 'second', milliseconds);
});

Then('within {int} ms it is recorded: {string}', async function then(this: RegisterStory, milliseconds: number, results: string) {
  await this.world.run(milliseconds);
  assert.equal(this.results.join(', '), results);
});

Then(
  'within {int} s all {int} changes are chosen, and each replica was asked for {int} promises',
  async function then(this: RegisterStory, seconds: number, count: number, prepares: number) {
    await this.world.run(seconds * 1_000);
    assert.equal(this.results.filter((result) => result.endsWith(' chosen')).length, count);
    assert.equal(this.prepares, prepares * replicaNames.length);
  },
);
