/** The state of the stories of pooled.feature, and helpers that their steps share. */
import assert from 'node:assert/strict';
import type { SessionLine } from '@stallstall/fakes';
import type { StatementReply } from '@stallstall/session-protocol';
import { type PooledFleet, type PooledMember, type PooledOptions, pooledFleet, type PooledEdge, firstKey } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';

/** The state that every story with a pooled fleet has. */
export type WithPooledFleet = { pooled: PooledFleet };

export type PooledStory = WithPooledFleet & {
  formerPrimary: PooledMember;
  session: SessionLine;
  otherSession: SessionLine;
  frozenAt: number;
  startedAt: number;
  identifier: string;
  reply: Option.Option<StatementReply>;
  replies: Array<Option.Option<StatementReply>>;
  statusDuringShutdown: boolean[];
  stopClients: () => void;
  reads: Array<Readonly<{ sentAt: number; row: string }>>;
};

export async function startPooledFleet(options: PooledOptions = {}): Promise<PooledFleet> {
  const pooled = pooledFleet.create(11, options);
  await pooled.startAll();
  assert.ok(await pooled.drive(pooled.configure(3, pooled.firstSheet(), 0)), 'the configuration was not accepted');
  assert.ok(
    await pooled.until(
      () =>
        pooled.edges.every((slot) => slot.proxy?.ready() === true) &&
        pooled.services.every((service) => pooled.primaryOf(service) !== undefined),
      20_000,
    ),
    'the edges did not become ready',
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

export async function openSession(story: WithPooledFleet, database: string, name: string, key: string = firstKey): Promise<SessionLine> {
  const session = await story.pooled.session(edge(story, name), database, key);
  assert.ok(typeof session !== 'string', `the session was not accepted: ${String(session)}`);
  return session;
}

export function conditionOf(reply: Option.Option<StatementReply>): string {
  if (Option.isNone(reply)) return 'no reply';
  return reply.value.completion.kind === 'done' ? 'served' : reply.value.completion.condition;
}

export async function queryOnce(story: PooledStory, database: string, name: string, text: string): Promise<Option.Option<StatementReply>> {
  const session = await openSession(story, database, name);
  const reply = await story.pooled.ask(session, text);
  session.close();
  return reply;
}

export function cutOff(story: PooledStory, machine: string, others: readonly string[]): void {
  for (const other of others) {
    story.pooled.world.cut(machine, other);
    story.pooled.world.cut(other, machine);
  }
}

export function commitsOf(story: PooledStory, data: string): number {
  return primary(story, 'bookings').store.log.filter((commit) => commit.writes.some((write) => write.data === data)).length;
}
