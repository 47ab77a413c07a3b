/** Steps of duties.feature: singleton roles and candidacies over a register kept in memory, on virtual time (design 7.6, 7.14). */
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

type RoleStory = {
  world: World;
  holder: Process;
  roleLease: RoleLease;
  receivedPaths: string[];
  callEnd: Option.Option<Readonly<{ at: number; result: Either.Either<Fault, HttpReply> }>>;
  releasedAt: number;
};

const platformAddress = identifiers.address('10.4.0.1:9000');
const callMilliseconds = 4_000;
const registerRoundMilliseconds = 2;
const tickMilliseconds = 200;

/** A register in memory whose operations always succeed, each after the time of one round. */
function memoryRegister(runtime: Runtime, entries: Map<string, Entry>): CoreSetRegister {
  const register: Register = {
    read: async function read(key) {
      await runtime.clock.sleep(registerRoundMilliseconds);
      return Either.right(Option.fromNullable(entries.get(key)));
    },
    change: async function change(key, decide) {
      await runtime.clock.sleep(registerRoundMilliseconds);
      const current = Option.fromNullable(entries.get(key));
      const decided = decide(current);
      if (Option.isNone(decided)) return Either.right({ wrote: false, entry: current });
      const version = Option.isSome(current) ? current.value.version + 1 : 1;
      const entry: Entry = { ballot: ballotZero, version, value: decided.value };
      entries.set(key, entry);
      return Either.right({ wrote: true, entry: Option.some(entry) });
    },
  };
  return { ...register, forCoreSet: () => register };
}

async function startPlatform(story: RoleStory, replies: boolean): Promise<void> {
  const { runtime } = story.world.spawn('platform', 'platform-machine');
  await runtime.network.serve(platformAddress, {
    routes: [
      {
        method: 'POST',
        path: '/promotion',
        handle: async function promote(request): Promise<HttpReply> {
          story.receivedPaths.push(request.path);
          if (!replies) await runtime.clock.sleep(2 * callMilliseconds);
          return { status: 200, body: {} };
        },
      },
    ],
  });
}

async function startRoleHolder(story: RoleStory, replies: boolean): Promise<void> {
  story.world = worlds.create(5);
  story.receivedPaths = [];
  story.callEnd = Option.none;
  await startPlatform(story, replies);
  story.holder = story.world.spawn('core-1', 'core-machine-1');
  const { runtime } = story.holder;
  runtime.services.register(registerService, memoryRegister(runtime, new Map()));
  const acquiring = singletonRole.create(runtime, 'promotion/ferries', 'core-1').tryAcquire();
  await story.world.run(10);
  const roleLease = await acquiring;
  assert.ok(Option.isSome(roleLease));
  story.roleLease = roleLease.value;
}

function startCall(story: RoleStory): void {
  const reply = story.roleLease.call(platformAddress, { method: 'POST', path: '/promotion', body: {} }, callMilliseconds);
  void reply.then((result) => {
    story.callEnd = Option.some({ at: story.world.now(), result });
  });
}

Given('a holder of a role, and a platform that counts the calls it receives', async function given(this: RoleStory) {
  await startRoleHolder(this, true);
});

Given('a holder of a role, and a platform that counts the calls it receives and does not reply', async function given(this: RoleStory) {
  await startRoleHolder(this, false);
});

When(
  'the holder starts a call and is frozen for {int} s before its connection opens',
  async function when(this: RoleStory, seconds: number) {
    startCall(this);
    await this.world.run(0.1);
    this.world.freeze(this.holder, seconds * 1_000);
  },
);

When('{int} s of simulated time pass', async function when(this: RoleStory, seconds: number) {
  await this.world.run(seconds * 1_000);
});

Then('the platform received no call, and the call failed as one that was never sent', function then(this: RoleStory) {
  assert.deepEqual(this.receivedPaths, []);
  assert.ok(Option.isSome(this.callEnd) && Either.isLeft(this.callEnd.value.result));
  assert.equal(fault.kind(this.callEnd.value.result.left), 'unreachable');
});

When('the holder starts a call, and releases the role {int} ms later', async function when(this: RoleStory, milliseconds: number) {
  startCall(this);
  await this.world.run(milliseconds);
  this.releasedAt = this.world.now();
  void this.roleLease.release();
  await this.world.run(callMilliseconds);
});

Then('the call ends when the role is released', function then(this: RoleStory) {
  assert.equal(this.receivedPaths.length, 1);
  assert.ok(Option.isSome(this.callEnd) && Either.isLeft(this.callEnd.value.result));
  assert.ok(
    this.callEnd.value.at - this.releasedAt < 10,
    `the call ended ${Math.round(this.callEnd.value.at - this.releasedAt)} ms after the release`,
  );
});

// -- Candidacies.

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
const placement = {
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

function electedAtEpoch(epoch: number): ElectedPrimary {
  return { epoch, primary, wonBy: 'core-2', position: 0, settledAt: 0 };
}

/** The former primary does not reply; the first replica becomes primary once the platform was asked for a promotion. */
function stateOf(member: string, promoted: boolean): Either.Either<Fault, MemberState> {
  if (member === primary)
    return Either.left(fault.create({ kind: 'unreachable', message: 'the former primary does not reply', remedy: 'none' }));
  const isPrimary = promoted && member === replicas[0];
  return Either.right({ member, role: isPrimary ? 'primary' : 'replica', epoch: 3, received: 7, applied: 7, term: isPrimary ? 4 : 3 });
}

function memoryVoteStore(): VoteStore {
  return { load: () => Promise.resolve(Either.right(Option.none)), record: () => Promise.resolve(true) };
}

Given(
  'a core that is a candidate for a service without a primary, has seen epoch {int} elected, and whose register has epoch {int}',
  async function given(this: RoleStory, seenEpoch: number, registeredEpoch: number) {
    this.world = worlds.create(6);
    this.receivedPaths = [];
    await startPlatform(this, true);
    const { runtime } = this.world.spawn('core-1', 'core-machine-1');
    const entries = new Map<string, Entry>([['epoch/ferries', { ballot: ballotZero, version: 1, value: electedAtEpoch(registeredEpoch) }]]);
    runtime.services.register(registerService, memoryRegister(runtime, entries));
    runtime.services.register(durableReportsService, {
      watermarks: () => Promise.resolve(Either.right({})),
    } satisfies Partial<DurableReports> as unknown as DurableReports);
    runtime.services.register(
      livenessService,
      liveness.create(
        runtime,
        Option.some({
          readState: (_service, member) => Promise.resolve(stateOf(member, this.receivedPaths.length > 0)),
          ensureConnection: () => Promise.resolve(Either.right(null)),
        }),
      ),
    );
    runtime.services.register(quorumLeaseService, { ...quorumLease.create(), reachableCount: () => seats.length });
    /** This core does not learn of elections that other cores recorded, only of those that it recorded itself. */
    function electedAsSeenHere(): ElectedPrimary {
      const own = entries.get('epoch/ferries')?.value as ElectedPrimary;
      return own.wonBy === 'core-1' ? own : electedAtEpoch(seenEpoch);
    }
    const candidate = election.create(
      runtime,
      {
        self: 'core-1',
        platformCalls: Option.some({
          promotion: () => ({ retrySafety: 'deduplicated', method: 'POST', path: '/promotion', body: {} }),
          usage: () => ({ retrySafety: 'deduplicated', method: 'POST', path: '/usage', body: {} }),
          handoverDelayMilliseconds: 0,
        }),
        leaseHolders: () => Option.some([]),
        hasReleased: () => true,
        hasAnnouncedDeparture: () => false,
        onEpochRaised: () => undefined,
        membership: () => membership,
        membershipVersion: () => 1,
        placement: () => Option.some(placement),
        electedPrimary: () => Option.some(electedAsSeenHere()),
        platformAddress: () => platformAddress,
        sendProposal: (_node, request) => Promise.resolve(Option.some({ accepted: true, reason: '', epoch: request.epoch, lessees: [] })),
      },
      memoryVoteStore(),
    );
    void runtimeUtilities.every(runtime.clock, tickMilliseconds, candidate.tick, () => true);
  },
);

Then(
  'the platform received at least {int} and at most {int} promotion requests',
  function then(this: RoleStory, least: number, most: number) {
    assert.ok(this.receivedPaths.length >= least && this.receivedPaths.length <= most, `${this.receivedPaths.length} promotion requests`);
  },
);
