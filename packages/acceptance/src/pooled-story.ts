/** What a story of pooled.feature holds, and what its steps share. */
import assert from 'node:assert/strict';
import type { SessionLine } from '@stallstall/fakes';
import type { StatementReply } from '@stallstall/session-protocol';
import { type PooledFleet, type PooledMember, type PooledOptions, pooledFleet, type PooledEdge, firstKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';

/** What the steps of every story on a pooled fleet share. */
export type WithPooledFleet = { pooled: PooledFleet };

export type PooledStory = WithPooledFleet & {
  old: PooledMember;
  line: SessionLine;
  other: SessionLine;
  frozenAt: number;
  calledAt: number;
  identifier: string;
  reply: Option.Option<StatementReply>;
  replies: Array<Option.Option<StatementReply>>;
  ready: boolean[];
  stop: () => void;
  read: Array<Readonly<{ sentAt: number; row: string }>>;
};

export async function bringUp(options: PooledOptions = {}): Promise<PooledFleet> {
  const pooled = pooledFleet.create(11, options);
  await pooled.startAll();
  assert.ok(await pooled.drive(pooled.configure(3, pooled.firstSheet(), 0)), 'the configuration was not taken');
  assert.ok(
    await pooled.until(
      () =>
        pooled.edges.every((slot) => slot.proxy?.ready() === true) &&
        pooled.services.every((service) => pooled.primaryOf(service) !== undefined),
      20_000,
    ),
    'the edges were never ready',
  );
  await pooled.world.run(2_000);
  return pooled;
}

export function edge(story: WithPooledFleet, name: string): PooledEdge {
  return story.pooled.edges.find((slot) => slot.name === name) as PooledEdge;
}

export function primary(story: PooledStory, service: string): PooledMember {
  return story.pooled.primaryOf(service) as PooledMember;
}

export async function open(story: WithPooledFleet, database: string, name: string, who: string = firstKey): Promise<SessionLine> {
  const line = await story.pooled.session(edge(story, name), database, who);
  assert.ok(typeof line !== 'string', `the session was not let in: ${String(line)}`);
  return line;
}

export function conditionOf(reply: Option.Option<StatementReply>): string {
  if (Option.isNone(reply)) return 'silence';
  return reply.value.completion.kind === 'done' ? 'served' : reply.value.completion.condition;
}

export async function once(story: PooledStory, database: string, name: string, text: string): Promise<Option.Option<StatementReply>> {
  const line = await open(story, database, name);
  const reply = await story.pooled.ask(line, text);
  line.close();
  return reply;
}

export function cutOff(story: PooledStory, machine: string, others: readonly string[]): void {
  for (const other of others) {
    story.pooled.world.cut(machine, other);
    story.pooled.world.cut(other, machine);
  }
}

export function kept(story: PooledStory, data: string): number {
  return primary(story, 'bookings').store.log.filter((commit) => commit.writes.some((write) => write.data === data)).length;
}
