/** Steps about matching replies to requests, and about calls that may be repeated (design 8.14). */
import assert from 'node:assert/strict';
import fs from 'node:fs';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, supportedProtocols, type Link, type Stream } from '@stallstall/kernel';
import { peer, repeatableCalls } from '@stallstall/peer';
import { world as worlds, type World } from '@stallstall/simulator';
import { plainDialect } from '@stallstall/fakes';
import { memberProber, repeatableCommands } from '@stallstall/session-protocol';

type ReplyStory = { world: World; links: number; openConnections: number };

const address = identifiers.address('10.5.0.1:7000');
const callMilliseconds = 200;

Given('a peer that replies twice to each call on a link', async function given(this: ReplyStory) {
  this.world = worlds.create(8);
  this.links = 0;
  const { runtime } = this.world.spawn('far', 'far-machine');

  async function serve(link: Link): Promise<void> {
    link.send({ greet: supportedProtocols });
    await link.receive();
    for (;;) {
      const frame = await link.receive();
      if (Option.isNone(frame)) return;
      const { call, body } = frame.value as Readonly<{ call: number; body: Readonly<{ window: number }> }>;
      const reply = { reply: call, body: { ready: true, reports: [], through: { owner: body.window } } };
      link.send(reply);
      runtime.clock.startTimer(callMilliseconds / 4, () => link.send(reply));
    }
  }

  await runtime.network.listen(address, (link) => {
    this.links += 1;
    void serve(link);
  });
});

Then('the link is reopened after the second reply, and no call receives the reply to another call', async function then(this: ReplyStory) {
  const client = peer.dial(this.world.spawn('near', 'near-machine').runtime, address);
  const owners: unknown[] = [];
  for (const window of [1, 2, 3]) {
    await this.world.run(2 * callMilliseconds);
    assert.equal(this.links, window);
    void client.call('usageLook', { window }, callMilliseconds).then((reply) => {
      if (Option.isSome(reply)) owners.push(reply.value.through['owner']);
    });
    await this.world.run(2 * callMilliseconds);
  }
  assert.deepEqual(owners, [1, 2, 3]);
  client.close();
});

/** The first two columns of the table whose first column has this heading. */
function tableOf(design: string, heading: string): Readonly<Record<string, string>> {
  const lines = design.split('\n');
  const headingLine = lines.findIndex((line) => line.startsWith(`| ${heading} | repeatable |`));
  assert.ok(headingLine >= 0, `there is no table with the heading ${heading}`);
  const rows: Record<string, string> = {};
  for (const line of lines.slice(headingLine + 2)) {
    if (!line.startsWith('|')) break;
    const [, call = '', repeatable = ''] = line.split('|').map((cell) => cell.trim());
    rows[call] = repeatable;
  }
  return rows;
}

Then('the tables in the design list every call between processes and every statement, as their types do', function then() {
  const design = fs.readFileSync(new URL('../../../docs/design.md', import.meta.url), 'utf8');
  assert.deepEqual(tableOf(design, 'call between own processes'), repeatableCalls);
  assert.deepEqual(tableOf(design, 'statement of a session'), repeatableCommands);
});

Given('a member that counts the connections to it', async function given(this: ReplyStory) {
  this.world = worlds.create(9);
  this.links = 0;
  this.openConnections = 0;
  const { runtime } = this.world.spawn('member', 'member-machine');

  async function serve(stream: Stream): Promise<void> {
    const framer = plainDialect.framer(1_000);
    for (;;) {
      const chunk = await stream.read();
      if (Option.isNone(chunk)) return;
      for (const message of framer.push(chunk.value).messages) {
        if (message.startsWith('hello')) stream.write(plainDialect.ready('idle', Option.none));
        else stream.write('row replica 3 3/7 0\nyes -\nat idle 3/7\n');
      }
    }
  }

  await runtime.network.listenStream(address, (stream) => {
    this.links += 1;
    this.openConnections += 1;
    void serve(stream).then(() => {
      this.openConnections -= 1;
    });
  });
});

When('a connection to it is requested, its STATE is requested at the same time, and again later', async function when(this: ReplyStory) {
  const statusProber = memberProber.create(this.world.spawn('near', 'near-machine').runtime, plainDialect, 'tenant');
  void statusProber.ensureConnection('ferries', 'member-1', address, callMilliseconds);
  void statusProber.readStatus('ferries', 'member-1', address, callMilliseconds);
  await this.world.run(callMilliseconds);
  void statusProber.readStatus('ferries', 'member-1', address, callMilliseconds);
  await this.world.run(callMilliseconds);
});

Then('one connection was opened, and it is still open', function then(this: ReplyStory) {
  assert.equal(this.links, 1);
  assert.equal(this.openConnections, 1);
});
