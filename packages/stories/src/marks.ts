// Steps of marks.feature: one core's half of the leases, and edges that tell it what they have seen (design 8.11).
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { lessor, type Lessor } from '@stallstall/lease';
import type { Ask, Reply } from '@stallstall/message';
import type { Instant, Kernel } from '@stallstall/kernel';
import type { Roster } from '@stallstall/roster';
import { world as worlds, type World } from '@stallstall/simulator';

type MarkStory = {
  world: World;
  kernel: Kernel;
  lessor: Lessor;
  openedAt: Instant;
  /** The token of the core that each edge knows; none for one that has not asked yet. */
  tokens: Map<string, string>;
  last: Reply<'lease'>;
};

const service = 'ferries';
const term = 4;
/** An edge that has not been asked for its commits says this much. */
const untoldMilliseconds = 600_000;

function emptyRoster(): Roster {
  return { number: () => 0, since: () => [] } as unknown as Roster;
}

async function ask(story: MarkStory, node: string, change: Partial<Ask<'lease'>>): Promise<void> {
  story.last = await story.lessor.lease({
    node,
    area: 'north',
    token: story.tokens.get(node) ?? '',
    seen: 0,
    hold: 0,
    acknowledged: 0,
    obeyed: 0,
    released: {},
    positions: {},
    marks: {},
    positionsAgo: untoldMilliseconds,
    demand: 1,
    content: true,
    notListening: [],
    ...change,
  });
  story.tokens.set(node, story.last.token);
}

Given(
  'a core that has answered in its seat for {int} s, while a leader is missing',
  async function given(this: MarkStory, seconds: number) {
    this.world = worlds.create(46);
    this.kernel = this.world.spawn('core', 'core-machine').kernel;
    this.openedAt = this.kernel.clock.now();
    this.tokens = new Map();
    this.lessor = lessor.create(this.kernel, {
      ready: () => true,
      openedAt: () => this.openedAt,
      stances: () => ({ [service]: term }),
      configuration: () => 1,
      membership: () => 1,
      puts: () => 1,
      roster: emptyRoster(),
      troubled: () => true,
      onNotListening: () => undefined,
    });
    await this.world.run(seconds * 1_000);
  },
);

When('the core is given its seat anew', function when(this: MarkStory) {
  this.openedAt = this.kernel.clock.now();
});

When('{string} begins anew', function when(this: MarkStory, node: string) {
  this.tokens.delete(node);
});

When('{string} asks, and has not told its commits', function when(this: MarkStory, node: string) {
  return ask(this, node, {});
});

When(
  '{string} saw the leader at {int}, {int} ms ago, and told its commits up to {int}',
  function when(this: MarkStory, node: string, position: number, ago: number, commit: number) {
    return ask(this, node, {
      marks: { [service]: { term, number: position, ago } },
      positions: { [service]: { term, number: commit } },
      positionsAgo: ago,
    });
  },
);

async function tell(story: MarkStory, milliseconds: number, nodes: readonly string[], commit: number): Promise<void> {
  await story.world.run(milliseconds);
  for (const node of nodes) await ask(story, node, { positions: { [service]: { term, number: commit } }, positionsAgo: 0 });
}

When(
  '{int} ms pass, and {string} and {string} tell their commits, the furthest at {int}',
  function when(this: MarkStory, milliseconds: number, first: string, second: string, commit: number) {
    return tell(this, milliseconds, [first, second], commit);
  },
);

When(
  '{int} ms pass, and {string} tells its commits, the furthest at {int}',
  function when(this: MarkStory, milliseconds: number, node: string, commit: number) {
    return tell(this, milliseconds, [node], commit);
  },
);

When(
  '{int} s pass, and {string} tells its commits, the furthest at {int}',
  function when(this: MarkStory, seconds: number, node: string, commit: number) {
    return tell(this, seconds * 1_000, [node], commit);
  },
);

Then('the mark stands at {int}, and {int} ms ago', function then(this: MarkStory, position: number, ago: number) {
  const mark = this.last.marks[service];
  assert.deepEqual(mark && { number: mark.number, ago: Math.round(mark.ago) }, { number: position, ago });
});
