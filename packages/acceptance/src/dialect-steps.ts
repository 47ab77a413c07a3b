/** Steps of dialect.feature. */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { plainDialect } from '@stallstall/fakes';
import type { StatementReply } from '@stallstall/session-protocol';

type DialectStory = { reply: StatementReply };

Given('a reply with a row at position {int}.{int}', function given(this: DialectStory, term: number, number: number) {
  this.reply = {
    rows: ['row value'],
    completion: { kind: 'done', stamp: '-' },
    transactionStatus: 'idle',
    position: Option.some({ term, number }),
  };
});

Then(
  'the plain dialect parses it into the row, its completion and ready at {int}.{int}',
  function then(this: DialectStory, term: number, number: number) {
    const { messages } = plainDialect.framer(1_024).push(plainDialect.reply(this.reply));
    assert.deepEqual(messages.map(plainDialect.parseReply), [
      { kind: 'row', raw: 'row value' },
      { kind: 'completion', completion: { kind: 'done', stamp: '-' } },
      { kind: 'ready', transactionStatus: 'idle', position: Option.some({ term, number }) },
    ]);
  },
);
