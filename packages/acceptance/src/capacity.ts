/** Steps for what hollow runs reckon with (docs/CAPACITY.md). */
import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { fit, hollowRun, plainDialect, type Fit } from '@stallstall/bench';
import type { StatementReply } from '@stallstall/session-protocol';

type Story = { fitted: Option.Option<Fit>; rejection: string; reply: StatementReply };

const usual = { cores: 3, edges: 6, agents: 1, services: 2, sessions: 0, statements: 0, tenants: 8, seconds: 2 };

Given('measured sizes and values', function given(this: Story, table: DataTable) {
  this.fitted = fit.line(table.hashes().map((row) => ({ size: Number(row['size']), value: Number(row['value']) })));
});

Then(
  'the slope is {float}, at nought {float}, with steps from {float} to {float} and a straightness of {float}',
  function then(this: Story, slope: number, base: number, lowest: number, highest: number, straightness: number) {
    assert.ok(Option.isSome(this.fitted));
    const { value } = this.fitted;
    for (const [found, wanted] of [
      [value.slope, slope],
      [value.base, base],
      [value.lowest, lowest],
      [value.highest, highest],
      [value.straightness, straightness],
    ] as const) {
      assert.ok(Math.abs(found - wanted) < 1e-9, `${found} is not ${wanted}`);
    }
  },
);

Then('there is no slope', function then(this: Story) {
  assert.ok(Option.isNone(this.fitted));
});

Then('the steps go from {float} to {float}', function then(this: Story, lowest: number, highest: number) {
  assert.ok(Option.isSome(this.fitted));
  assert.deepEqual([this.fitted.value.lowest, this.fitted.value.highest], [lowest, highest]);
});

When('a hollow run of {int} edges is asked for', function when(this: Story, edges: number) {
  this.rejection = hollowRun.denied({ ...usual, edges });
});

Then('it is denied, naming {string} and the most', function then(this: Story, field: string) {
  assert.match(this.rejection, new RegExp(`^${field} is \\d+; a run takes at most \\d+$`));
});

Then('it is not denied', function then(this: Story) {
  assert.equal(this.rejection, '');
});

Given('a reply with a row at position {int}.{int}', function given(this: Story, term: number, number: number) {
  this.reply = {
    rows: ['row value'],
    completion: { kind: 'done', stamp: '-' },
    transactionStatus: 'idle',
    position: Option.some({ term, number }),
  };
});

Then(
  "the plain dialect's pieces of it are the row, its ending and rest at {int}.{int}",
  function then(this: Story, term: number, number: number) {
    const { messages } = plainDialect.framer(1_024).push(plainDialect.reply(this.reply));
    assert.deepEqual(messages.map(plainDialect.piece), [
      { kind: 'row', raw: 'row value' },
      { kind: 'completion', completion: { kind: 'done', stamp: '-' } },
      { kind: 'rest', transactionStatus: 'idle', position: Option.some({ term, number }) },
    ]);
  },
);
