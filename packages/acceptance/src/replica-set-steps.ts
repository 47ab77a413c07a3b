/** Steps that explore the model of a service's replica set, with the product's rules or with faulty ones (design 7.15). */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { replicaSets } from '@stallstall/election';
import { replicaSetModel, type ReplicaSetExploration, type ReplicaSetModelOptions } from '@stallstall/simulator';

type ReplicaSetStory = { explored: ReplicaSetExploration };

const faultyRules: Readonly<Record<string, Pick<ReplicaSetModelOptions, 'rules'>>> = {
  'elections count the registered members': {
    rules: { ...replicaSets, electorate: (_stored, { members, synchronousReplicas }) => ({ members, synchronousReplicas }) },
  },
  'members that have ended are removed without a proof': {
    rules: {
      ...replicaSets,
      settle: (set, _service, { ended }) => ({ ...set, members: set.members.filter(({ member }) => !ended.has(member)) }),
    },
  },
};

When(
  'every order of {int} steps is explored with {int} synchronous replicas',
  { timeout: 120_000 },
  function when(this: ReplicaSetStory, depth: number, synchronousReplicas: number) {
    this.explored = replicaSetModel.explore({ depth, synchronousReplicas });
  },
);

When(
  'every order of {int} steps is explored with {int} synchronous replicas, changed to 0, 1 or 2 at any time',
  { timeout: 120_000 },
  function when(this: ReplicaSetStory, depth: number, synchronousReplicas: number) {
    this.explored = replicaSetModel.explore({ depth, synchronousReplicas, configurable: [0, 1, 2] });
  },
);

When(
  /^every order of (\d+) steps is explored with (\d+) synchronous replicas, where (.+)$/,
  { timeout: 120_000 },
  function when(this: ReplicaSetStory, depth: string, synchronousReplicas: string, rule: string) {
    const faulty = faultyRules[rule];
    assert.ok(faulty !== undefined, `no faulty rule is called: ${rule}`);
    this.explored = replicaSetModel.explore({ depth: Number(depth), synchronousReplicas: Number(synchronousReplicas), ...faulty });
  },
);

Then('no promotion lost an acknowledged commit', function then(this: ReplicaSetStory) {
  assert.deepEqual(this.explored.violation, Option.none);
});

Then('a promotion lost an acknowledged commit', function then(this: ReplicaSetStory) {
  assert.ok(Option.isSome(this.explored.violation), `${this.explored.states} states were explored`);
});

Then('some elections waited and some members were promoted', function then(this: ReplicaSetStory) {
  assert.ok(this.explored.waits > 0 && this.explored.promotions > 0);
});
