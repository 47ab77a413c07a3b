/** Steps of registers.feature: how a proposer deals with replicas that reject it or stay silent, and with its own operations (design 5.8). */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Ballot, Reply } from '@stallstall/message';
import { proposer, type CoreSetRegister, type RegisterReplica } from '@stallstall/register';
import { world as worlds, type World } from '@stallstall/simulator';

type RegisterStory = { world: World; register: CoreSetRegister };

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
