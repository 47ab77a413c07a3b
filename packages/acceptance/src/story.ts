/** What a story holds, and what its steps share. */
import assert from 'node:assert/strict';
import type * as Either from 'fp-ts/lib/Either.js';
import type { Fault, HttpReply } from '@stallstall/kernel';
import type { openapi } from '@stallstall/cli';
import type { Watcher } from '@stallstall/register';
import {
  fleet as fleets,
  type CoreSlot,
  type EdgeSlot,
  type Fleet,
  type FleetOptions,
  type MemberSlot,
  type Process,
  type World,
} from '@stallstall/simulator';
import { brightpath, redComun } from '@stallstall/fakes';

export type Story = {
  fleet: Fleet;
  replies: HttpReply[];
  session: string;
  edge: EdgeSlot;
  before: Readonly<{ member: string; epoch: number }>;
  process: Process | undefined;
  crowd: Array<Readonly<{ reply: HttpReply; after: number }>>;
  spoilt: ReadonlyArray<readonly HttpReply[]>;
  stops: string[];
  window: number;
  watcher: Watcher;
  imported: Awaited<ReturnType<typeof openapi.read>>;
  key: string;
  checked: ReadonlyArray<Either.Either<Fault, unknown>>;
  clients: Readonly<{ stop: () => void }>;
  folder: string;
  currentSettings: () => unknown;
  asked: Array<() => number>;
  onSettingsChange: () => void;
  world: World;
  probes: Array<Readonly<{ requestedAt: number; sentAt: number }>>;
};

export function Story(this: Partial<Story>): void {
  this.replies = [];
}

export function edgeOf(story: Story, name: string): EdgeSlot {
  return story.fleet.edges.find((slot) => slot.name === name) as EdgeSlot;
}

export function coreOf(story: Story, name: string): CoreSlot {
  return story.fleet.cores.find((slot) => slot.name === name) as CoreSlot;
}

export async function bringUp(deployment: string, options: FleetOptions = {}): Promise<Fleet> {
  const fleet = fleets.create(7, deployment === 'Brightpath' ? brightpath : redComun, options);
  await fleet.startAll();
  assert.ok(
    await fleet.runUntil(() => fleet.cores.every((slot) => slot.running?.node.membership().value.seats.length === 9), 10_000),
    'the fleet did not form',
  );
  assert.equal(
    (
      await fleet.sendOperatorRequest(
        'PUT',
        '/v1/sheet',
        { sheet: fleet.defaultConfiguration(), sentBy: 'story' },
        options.operatorKey === undefined ? {} : { 'x-stallstall-operator': options.operatorKey },
      )
    ).status,
    200,
  );
  assert.ok(
    await fleet.runUntil(() => fleet.deployment.services.every((service) => fleet.primaryOf(service) !== undefined), 20_000),
    'no primaries were elected',
  );
  await fleet.world.run(4_000);
  return fleet;
}

export function errorOf(reply: HttpReply): string {
  return String((reply.body as { error?: unknown } | null)?.error ?? 'served');
}

export function statement(kind: string, text: string): Readonly<Record<string, unknown>> {
  return { kind, statements: [{ text }] };
}

export function within(reply: HttpReply, kinds: readonly string[]): void {
  assert.ok(kinds.includes(errorOf(reply)), `${reply.status} ${JSON.stringify(reply.body)} is none of ${kinds.join(', ')}`);
}

export function kindsOf(first: string, second?: string): readonly string[] {
  return second === undefined ? [first] : [first, second];
}

export function primary(story: Story, service: string): MemberSlot {
  return story.fleet.primaryOf(service) as MemberSlot;
}
