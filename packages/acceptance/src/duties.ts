/** Steps of duties.feature: duties and candidacies over a register that is a table, on virtual time (design 7.6, 7.14). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { singletonRole, election, liveness, livenessService, type RoleLease, type MemberState, type VoteStore } from '@stallstall/election';
import { quorumLease, quorumLeaseService } from '@stallstall/quorum-lease';
import { fault, identifiers, runtimeUtilities, type Fault, type HttpReply, type Runtime } from '@stallstall/kernel';
import { ballotZero, type Entry, type Membership, type ElectedPrimary } from '@stallstall/message';
import { durableReportsService, registerService, type DurableReports, type CoreSetRegister, type Register } from '@stallstall/register';
import type { PlacementConfiguration } from '@stallstall/placement';
import { world as worlds, type Process, type World } from '@stallstall/simulator';

type DutyStory = {
  world: World;
  holder: Process;
  holding: RoleLease;
  reported: string[];
  ended: Option.Option<Readonly<{ at: number; result: Either.Either<Fault, HttpReply> }>>;
  releasedAt: number;
};

const platformAddress = identifiers.address('10.4.0.1:9000');
const callMilliseconds = 4_000;
const roundMilliseconds = 2;
const beatMilliseconds = 200;

/** A register that a majority always answers: one table, a round long. */
function tableRegister(runtime: Runtime, table: Map<string, Entry>): CoreSetRegister {
  const register: Register = {
    read: async function read(key) {
      await runtime.clock.sleep(roundMilliseconds);
      return Either.right(Option.fromNullable(table.get(key)));
    },
    change: async function change(key, decide) {
      await runtime.clock.sleep(roundMilliseconds);
      const current = Option.fromNullable(table.get(key));
      const decided = decide(current);
      if (Option.isNone(decided)) return Either.right({ wrote: false, entry: current });
      const version = Option.isSome(current) ? current.value.version + 1 : 1;
      const entry: Entry = { ballot: ballotZero, version, value: decided.value };
      table.set(key, entry);
      return Either.right({ wrote: true, entry: Option.some(entry) });
    },
  };
  return { ...register, forCoreSet: () => register };
}

async function startPlatform(story: DutyStory, speaks: boolean): Promise<void> {
  const { runtime } = story.world.spawn('platform', 'platform-machine');
  await runtime.network.serve(platformAddress, {
    routes: [
      {
        method: 'POST',
        path: '/promotion',
        handle: async function promote(request): Promise<HttpReply> {
          story.reported.push(request.path);
          if (!speaks) await runtime.clock.sleep(2 * callMilliseconds);
          return { status: 200, body: {} };
        },
      },
    ],
  });
}

async function startHolder(story: DutyStory, speaks: boolean): Promise<void> {
  story.world = worlds.create(5);
  story.reported = [];
  story.ended = Option.none;
  await startPlatform(story, speaks);
  story.holder = story.world.spawn('core-1', 'core-machine-1');
  const { runtime } = story.holder;
  runtime.services.offer(registerService, tableRegister(runtime, new Map()));
  const sought = singletonRole.create(runtime, 'promotion/ferries', 'core-1').tryAcquire();
  await story.world.run(10);
  const holding = await sought;
  assert.ok(Option.isSome(holding));
  story.holding = holding.value;
}

function call(story: DutyStory): void {
  const calling = story.holding.call(platformAddress, { method: 'POST', path: '/promotion', body: {} }, callMilliseconds);
  void calling.then((result) => {
    story.ended = Option.some({ at: story.world.now(), result });
  });
}

Given('a holder of a duty, and a platform that counts what it is told', async function given(this: DutyStory) {
  await startHolder(this, true);
});

Given('a holder of a duty, and a platform that counts what it is told, and says nothing', async function given(this: DutyStory) {
  await startHolder(this, false);
});

When(
  'the holder begins a call and is frozen for {int} s before its connection is open',
  async function when(this: DutyStory, seconds: number) {
    call(this);
    await this.world.run(0.1);
    this.world.freeze(this.holder, seconds * 1_000);
  },
);

When('{int} s of the duty pass', async function when(this: DutyStory, seconds: number) {
  await this.world.run(seconds * 1_000);
});

Then('the platform was told nothing, and the call is answered as one of which no byte has left', function then(this: DutyStory) {
  assert.deepEqual(this.reported, []);
  assert.ok(Option.isSome(this.ended) && Either.isLeft(this.ended.value.result));
  assert.equal(fault.kind(this.ended.value.result.left), 'unreachable');
});

When('the holder begins a call, and lets the duty go {int} ms later', async function when(this: DutyStory, milliseconds: number) {
  call(this);
  await this.world.run(milliseconds);
  this.releasedAt = this.world.now();
  void this.holding.release();
  await this.world.run(callMilliseconds);
});

Then('the call ends with the duty', function then(this: DutyStory) {
  assert.equal(this.reported.length, 1);
  assert.ok(Option.isSome(this.ended) && Either.isLeft(this.ended.value.result));
  assert.ok(this.ended.value.at - this.releasedAt < 10, `${Math.round(this.ended.value.at - this.releasedAt)} ms later`);
});

// -- A candidacy.

const seats = [1, 2, 3].map((index) => ({
  node: `core-${index}`,
  role: 'core' as const,
  area: 'north',
  address: `10.1.0.${index}:7000`,
  outward: `10.1.0.${index}:7001`,
  draining: false,
}));
const membership: Membership = { seats, epochs: {} };
const primary = 'ferries-1';
const replicas = ['ferries-2', 'ferries-3'];
const sheet = {
  services: [
    {
      service: 'ferries',
      connectionLimit: 40,
      registered: true,
      synchronousReplicas: 0,
      members: [primary, ...replicas].map((member) => ({ member, area: 'north', address: '10.3.0.1:5000', state: 'serving' })),
    },
  ],
} as unknown as PlacementConfiguration;

function settledAt(epoch: number): ElectedPrimary {
  return { epoch, primary, wonBy: 'core-2', position: 0, settledAt: 0 };
}

/** The old primary says nothing; the platform's word is what makes a replica lead. */
function stateOf(member: string, promoted: boolean): Either.Either<Fault, MemberState> {
  if (member === primary) return Either.left(fault.create({ kind: 'unreachable', message: 'it is gone', remedy: 'none' }));
  const leads = promoted && member === replicas[0];
  return Either.right({ member, role: leads ? 'primary' : 'replica', epoch: 3, received: 7, applied: 7, term: leads ? 4 : 3 });
}

function votesInMemory(): VoteStore {
  return { load: () => Promise.resolve(Either.right(Option.none)), record: () => Promise.resolve(true) };
}

Given(
  'a core that stands for a service without a leader, knows of epoch {int}, and whose register has epoch {int}',
  async function given(this: DutyStory, known: number, settled: number) {
    this.world = worlds.create(6);
    this.reported = [];
    await startPlatform(this, true);
    const { runtime } = this.world.spawn('core-1', 'core-machine-1');
    const table = new Map<string, Entry>([['epoch/ferries', { ballot: ballotZero, version: 1, value: settledAt(settled) }]]);
    runtime.services.offer(registerService, tableRegister(runtime, table));
    runtime.services.offer(durableReportsService, {
      watermarks: () => Promise.resolve(Either.right({})),
    } satisfies Partial<DurableReports> as unknown as DurableReports);
    runtime.services.offer(
      livenessService,
      liveness.create(
        runtime,
        Option.some({
          readState: (_service, member) => Promise.resolve(stateOf(member, this.reported.length > 0)),
          ensureConnection: () => Promise.resolve(Either.right(null)),
        }),
      ),
    );
    runtime.services.offer(quorumLeaseService, { ...quorumLease.create(), reachableCount: () => seats.length });
    /** What was settled by others has not been told here; what this core settles itself is. */
    function settledHere(): ElectedPrimary {
      const own = table.get('epoch/ferries')?.value as ElectedPrimary;
      return own.wonBy === 'core-1' ? own : settledAt(known);
    }
    const elections = election.create(
      runtime,
      {
        self: 'core-1',
        platformCalls: Option.some({
          promotion: () => ({ repeatable: 'unchanged', method: 'POST', path: '/promotion', body: {} }),
          usage: () => ({ repeatable: 'unchanged', method: 'POST', path: '/usage', body: {} }),
          handoverDelayMilliseconds: 0,
        }),
        leaseHolders: () => Option.some([]),
        hasReleased: () => true,
        onEpochRaised: () => undefined,
        membership: () => membership,
        membershipVersion: () => 1,
        placement: () => Option.some(sheet),
        electedPrimary: () => Option.some(settledHere()),
        platformAddress: () => platformAddress,
        sendProposal: (_node, ask) => Promise.resolve(Option.some({ accepted: true, reason: '', epoch: ask.epoch, lessees: [] })),
      },
      votesInMemory(),
    );
    void runtimeUtilities.every(runtime.clock, beatMilliseconds, elections.tick, () => true);
  },
);

Then('the platform was told {int} promotions or more, and at most {int}', function then(this: DutyStory, least: number, most: number) {
  assert.ok(this.reported.length >= least && this.reported.length <= most, `${this.reported.length} promotions`);
});
