/** Steps over a single election whose register, durable reports, members and platform are stubs, on virtual time (design 7.6). */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  election,
  livenessService,
  replicaSetKey,
  replicaSets,
  type Election,
  type Liveness,
  type MemberState,
} from '@stallstall/election';
import { quorumLease, quorumLeaseService } from '@stallstall/quorum-lease';
import { identifiers } from '@stallstall/kernel';
import { ballotZero, type Entry, type NodeRecord, type ElectedPrimary } from '@stallstall/message';
import { durableReportsService, registerService, type DurableReports, type CoreSetRegister } from '@stallstall/register';
import type { PlacementConfiguration, ServicePlacement } from '@stallstall/placement';
import { world as worlds, type World } from '@stallstall/simulator';

/** A write that the stub register accepted. */
type Write = Readonly<{ key: string; value: unknown }>;

type CandidacyStory = {
  world: World;
  election: Election;
  values: Map<string, Entry>;
  /** The writes, in the order in which the register accepted them. */
  writes: Write[];
  /** The members that the platform was asked to promote, in order. */
  promoted: string[];
  synchronousReplicas: number;
  /** The position received by each member that replies to STATE; all other members are silent. */
  received: Map<string, number>;
  draining: Set<string>;
  /** Members that are in no list of registered members any more. */
  forgotten: Set<string>;
  configuredReplicas: number | undefined;
  onWrite: (key: string) => void;
};

const service = 'ferries';
const platformAddress = '10.4.0.1:9000';
const stepMilliseconds = 200;
const firstElected: ElectedPrimary = { epoch: 4, primary: 'ferries-1', wonBy: 'core-1', position: 10, settledAt: 0 };
const seat: NodeRecord = {
  node: 'core-1',
  role: 'core',
  area: 'north',
  address: '10.1.0.1:7000',
  outward: '10.1.0.1:7001',
  draining: false,
};

function members(count: number): PlacementConfiguration['services'][number]['members'] {
  return Array.from({ length: count }, (_, index) => ({
    member: `ferries-${index + 1}`,
    area: 'north',
    address: `10.3.0.${index + 1}:5000`,
    state: 'serving' as const,
  })) as PlacementConfiguration['services'][number]['members'];
}

function placementOfStory({ synchronousReplicas, forgotten, draining, configuredReplicas }: CandidacyStory): PlacementConfiguration {
  const count = synchronousReplicas === 0 ? 2 : 3;
  const registered = members(count)
    .filter(({ member }) => !forgotten.has(member))
    .map((placed) => (draining.has(placed.member) ? { ...placed, state: 'draining' as const } : placed));
  const replicas = configuredReplicas ?? synchronousReplicas;
  return {
    services: [{ service, members: registered, synchronousReplicas: replicas, registered: true }],
  } as unknown as PlacementConfiguration;
}

function stubRegister(story: CandidacyStory): CoreSetRegister {
  function put(key: string, value: unknown): Entry {
    const entry: Entry = { ballot: ballotZero, version: (story.values.get(key)?.version ?? 0) + 1, value };
    story.values.set(key, entry);
    story.writes.push({ key, value });
    return entry;
  }
  const register: CoreSetRegister = {
    read: (key) => Promise.resolve(Either.right(Option.fromNullable(story.values.get(key)))),
    change: function change(key, decide) {
      const decided = decide(Option.fromNullable(story.values.get(key)));
      if (Option.isNone(decided)) return Promise.resolve(Either.right({ wrote: false, entry: Option.fromNullable(story.values.get(key)) }));
      const entry = put(key, decided.value);
      story.onWrite(key);
      return Promise.resolve(Either.right({ wrote: true, entry: Option.some(entry) }));
    },
    forCoreSet: () => register,
  };
  return register;
}

/** Members with a received position reply to STATE, each as a replica until it is promoted; the others are silent. */
function stubLiveness(story: CandidacyStory): Liveness {
  const noReply = Either.left(new Error('silent') as never);
  function state(member: string, received: number): MemberState {
    const isPrimary = story.promoted.at(-1) === member;
    return { member, role: isPrimary ? 'primary' : 'replica', epoch: 4, received, applied: received, term: isPrimary ? 5 : 4 };
  }
  return {
    isAlive: (member: string) => story.received.has(member),
    probe: function probe(member: string) {
      const received = story.received.get(member);
      return Promise.resolve(
        received === undefined ? noReply : Either.right({ sentAt: identifiers.instant(0), state: state(member, received) }),
      );
    },
  } satisfies Partial<Liveness> as unknown as Liveness;
}

/** Starts one election over stubs. The primary, which is the first member, is silent. */
async function startCandidate(story: CandidacyStory, synchronousReplicas: number, received: ReadonlyMap<string, number>): Promise<void> {
  const world = worlds.create(71);
  Object.assign(story, { world, values: new Map(), writes: [], promoted: [], synchronousReplicas, received, onWrite: () => undefined });
  Object.assign(story, { forgotten: new Set(), draining: new Set(), configuredReplicas: undefined });
  const { runtime } = world.spawn('core-1', 'core-machine-1');
  const platform = world.spawn('platform', 'platform-machine');
  await platform.runtime.network.serve(identifiers.address(platformAddress), {
    routes: [
      {
        method: 'POST',
        path: '/promotion',
        handle: async function promote(request) {
          story.promoted.push((request.body as { member: string }).member);
          return { status: 200, body: {} };
        },
      },
    ],
  });
  runtime.services.register(registerService, stubRegister(story));
  runtime.services.register(durableReportsService, {
    report: () => Promise.resolve(Either.right({})),
    watermarks: () => Promise.resolve(Either.right({})),
  } as DurableReports);
  runtime.services.register(livenessService, stubLiveness(story));
  runtime.services.register(quorumLeaseService, quorumLease.create());
  story.election = election.create(
    runtime,
    {
      platformCalls: Option.some({
        promotion: ({ member }) => ({ method: 'POST', path: '/promotion', body: { member }, retrySafety: 'deduplicated' }),
        usage: () => ({ method: 'POST', path: '/usage', body: {}, retrySafety: 'deduplicated' }),
        handoverDelayMilliseconds: 0,
      }),
      leaseHolders: () => Option.some([]),
      hasReleased: () => true,
      hasAnnouncedDeparture: () => false,
      onEpochRaised: () => undefined,
      self: 'core-1',
      membership: () => ({ seats: [seat], epochs: {} }),
      membershipVersion: () => 1,
      placement: () => Option.some(placementOfStory(story)),
      // This node was notified only of the first election, whatever the register holds.
      electedPrimary: () => Option.some(firstElected),
      platformAddress: () => platformAddress,
      sendProposal: () => Promise.resolve(Option.none),
    },
    { load: () => Promise.resolve(Either.right(Option.none)), record: () => Promise.resolve(true) },
  );
}

Given('a candidate for {string} that is not notified of later elections', async function given(this: CandidacyStory, _service: string) {
  await startCandidate(this, 0, new Map([['ferries-2', 10]]));
});

Given(
  'a candidate for {string}, whose commits wait for one of two replicas, of which only {word} replies, at position {int}',
  async function given(this: CandidacyStory, _service: string, member: string, position: number) {
    await startCandidate(this, 1, new Map([[member, position]]));
  },
);

Given(
  'a candidate for {string}, whose commits wait for one of two replicas, of which {word} and {word} reply, both at position {int}',
  async function given(this: CandidacyStory, _service: string, one: string, other: string, position: number) {
    await startCandidate(this, 1, new Map([one, other].map((member) => [member, position])));
  },
);

When('{word} and {word} are silent and not registered any more', function when(this: CandidacyStory, one: string, other: string) {
  for (const member of [one, other]) {
    this.received.delete(member);
    this.forgotten.add(member);
  }
});

When('{word} is draining, at position {int}', function when(this: CandidacyStory, member: string, position: number) {
  this.draining.add(member);
  this.received.set(member, position);
});

When('an operator gives up what the members hold that are not registered any more', function when(this: CandidacyStory) {
  const key = replicaSetKey(service);
  const entry = this.values.get(key) as Entry;
  const placed = placementOfStory(this).services[0] as ServicePlacement;
  const set = Option.toNullable(replicaSets.parse(Option.some(entry)));
  assert.ok(set !== null, 'no replica set is stored');
  this.values.set(key, { ...entry, version: entry.version + 1, value: replicaSets.withoutFormer(set, placed) });
});

When('{word} leaves and ends', function when(this: CandidacyStory, member: string) {
  this.received.delete(member);
  this.forgotten.add(member);
});

When('the configuration asks for {int} synchronous replicas', function when(this: CandidacyStory, replicas: number) {
  this.configuredReplicas = replicas;
});

Then('the election waits for no member', function then(this: CandidacyStory) {
  assert.equal(this.election.describe()[0]?.['awaited'], '');
});

Then('the election waits for {string}', function then(this: CandidacyStory, awaited: string) {
  assert.equal(this.election.describe()[0]?.['awaited'], awaited);
  const waiting = this.world.logs.filter((line) => line.event === 'election.waiting');
  assert.equal(waiting.at(-1)?.fields['members'], awaited);
});

When('{word} replies as well, at position {int}', function when(this: CandidacyStory, member: string, position: number) {
  this.received.set(member, position);
});

When(
  'another node records epoch {int} as elected while the candidate acquires the promotion role',
  function when(this: CandidacyStory, epoch: number) {
    this.onWrite = (key) => {
      if (!key.startsWith('duty/') || this.values.has(`epoch/${service}`)) return;
      const value: ElectedPrimary = { ...firstElected, epoch, primary: 'ferries-3', wonBy: 'core-2' };
      this.values.set(`epoch/${service}`, { ballot: ballotZero, version: 1, value });
    };
  },
);

async function passTime(this: CandidacyStory, seconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < seconds * 1_000; elapsed += stepMilliseconds) {
    this.election.tick();
    await this.world.run(stepMilliseconds);
  }
}

When("the service's primary is silent for {int} s", passTime);
When('the candidate waits for {int} s', passTime);

Then('no member was promoted', function then(this: CandidacyStory) {
  assert.deepEqual(this.promoted, []);
});

Then('only {word} was promoted', function then(this: CandidacyStory, member: string) {
  assert.deepEqual([...new Set(this.promoted)], [member]);
});

Then('the platform received no promotion request', function then(this: CandidacyStory) {
  assert.ok(
    this.writes.some((write) => write.key === `duty/promotion/${service}`),
    'the candidate did not acquire the role',
  );
  assert.deepEqual(this.promoted, []);
});

Then('the platform received a promotion request', function then(this: CandidacyStory) {
  assert.ok(this.promoted.length > 0, JSON.stringify(this.election.describe()));
});

Then('the promotion role is released', function then(this: CandidacyStory) {
  const lastRoleWrite = this.writes.filter((write) => write.key === `duty/promotion/${service}`).at(-1);
  assert.equal((lastRoleWrite?.value as { released?: boolean } | undefined)?.released, true);
});

Then('the election was recorded before the promotion role was released', function then(this: CandidacyStory) {
  const electedAt = this.writes.findIndex((write) => write.key === `epoch/${service}`);
  const releasedAt = this.writes.findIndex(
    (write) => write.key === `duty/promotion/${service}` && (write.value as { released?: boolean }).released === true,
  );
  assert.ok(electedAt >= 0 && releasedAt >= 0, 'the election or the release was not written');
  assert.ok(electedAt < releasedAt, `elected at write ${electedAt}, released at write ${releasedAt}`);
});
