/**
 * Runs one candidacy: reads the members' STATE, proposes a candidate, waits, has it promoted, and writes the elected primary to the register
 * (design 7.2 to 7.6, 7.14).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import type { ElectedPrimary, Entry } from '@stallstall/message';
import type { ServicePlacement } from '@stallstall/placement';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { candidates, type Candidate } from './candidates.js';
import { commitCoverage } from './commit-coverage.js';
import { durableWatermark } from './durable-watermark.js';
import type { ElectionServices } from './election-services.js';
import { promotions } from './promotion.js';
import type { RoleLease } from './role-lease.js';
import { singletonRole, type SingletonRole } from './singleton-role.js';
import { successionWait } from './succession-wait.js';
import { voteCollection } from './vote-collection.js';

/** Runs the candidacies of one process. @internal */
export type CandidacyRunner = Readonly<{
  /** Resolves to the outcome, as a text for operators. */
  run: (service: ServicePlacement) => Promise<string>;
}>;

/** The epoch and the candidate for which a majority has voted. */
type WonElection = Readonly<{ epoch: number; candidate: Candidate }>;

const roleTimeoutMilliseconds = 2 * (leaseTermMilliseconds + leaseMarginMilliseconds);
const rolePollMilliseconds = 250;
const registerTimeoutMilliseconds = 1_000;

function electedKey(service: string): string {
  return `epoch/${service}`;
}

function electedEpochOf(entry: Option.Option<Entry>): number {
  return Option.isSome(entry) ? (entry.value.value as ElectedPrimary).epoch : 0;
}

/**
 * Whether a majority of cores has no primary elected at this or a later epoch. Read while holding the promotion role: a node that was frozen
 * or partitioned since it won thereby learns of later elections before it promotes a member (design 7.14).
 */
async function isNotYetElected({ register }: ElectionServices, service: string, epoch: number): Promise<boolean> {
  const read = await register.read(electedKey(service), registerTimeoutMilliseconds);
  if (Either.isLeft(read)) return false;
  const electedEpoch = electedEpochOf(read.right);
  return electedEpoch < epoch;
}

/** Writes the elected primary; false when the register has one of the same or a later epoch, or when no majority of cores accepted it. */
async function recordElected({ register }: ElectionServices, service: string, elected: ElectedPrimary): Promise<boolean> {
  const written = await register.change(electedKey(service), function next(current) {
    return Option.isSome(current) && electedEpochOf(current) >= elected.epoch ? Option.none : Option.some(elected);
  });
  return Either.isRight(written) && Option.isSome(written.right.entry) && electedEpochOf(written.right.entry) === elected.epoch;
}

/** Acquires the promotion role; none when another process holds it, or when a primary was elected at this or a later epoch. */
async function acquireRole(
  services: ElectionServices,
  role: SingletonRole,
  service: string,
  epoch: number,
): Promise<Option.Option<RoleLease>> {
  const { runtime, epochs } = services;
  const deadline = identifiers.after(runtime.clock.now(), roleTimeoutMilliseconds);
  while (runtime.clock.now() < deadline && !epochs.isSuperseded(service, epoch)) {
    const lease = await role.tryAcquire();
    if (Option.isSome(lease)) {
      if (await isNotYetElected(services, service, epoch)) return lease;
      await lease.value.release();
      return Option.none;
    }
    await runtime.clock.sleep(rolePollMilliseconds);
  }
  return Option.none;
}

/** Records for operators, and logs once, which members an election waits for. */
function recordAwaitedMembers({ runtime, epochs }: ElectionServices, service: string, awaited: readonly string[]): void {
  const state = epochs.stateOf(service);
  const isChanged = awaited.join(' ') !== state.awaitedMembers.join(' ');
  state.awaitedMembers = awaited;
  if (isChanged && awaited.length > 0) runtime.log('election.waiting', { service, members: awaited.join(' ') });
}

/** The member to propose, or the reason why there is none. */
async function chooseCandidate(
  services: ElectionServices,
  service: ServicePlacement,
): Promise<Either.Either<string, Readonly<{ candidate: Candidate; highestEpoch: number }>>> {
  const electorate = await commitCoverage.readElectorate(services, service);
  if (Option.isNone(electorate)) return Either.left('the replica set cannot be read: no majority of cores replies');
  const [members, watermark] = await Promise.all([
    candidates.readStates(services, service.service, electorate.value),
    durableWatermark.read(services, service.service),
  ]);
  if (Option.isNone(watermark)) return Either.left('the watermark of acknowledged commits cannot be read: no majority of cores replies');
  const awaited = commitCoverage.awaitedMembers(electorate.value, members);
  recordAwaitedMembers(services, service.service, awaited);
  if (awaited.length > 0) return Either.left(`an acknowledged commit may be only on members that did not reply: ${awaited.join(', ')}`);
  const chosen = candidates.choose(services, service, { electorate: electorate.value, replies: members, watermark: watermark.value });
  if (Option.isNone(chosen)) return Either.left('no eligible replica: each is unreachable, not serving or lacks acknowledged writes');
  const highestEpoch = Math.max(services.epochs.currentEpoch(service.service), ...members.map(({ state }) => state.epoch));
  return Either.right({ candidate: chosen.value, highestEpoch });
}

/** Promotes the candidate under the role and writes it to the register as elected; releases the role in any case. */
async function promoteAndRecord(
  services: ElectionServices,
  service: string,
  { epoch, candidate }: WonElection,
  roleLease: RoleLease,
): Promise<string> {
  const { runtime, context } = services;
  const promoted = await promotions.promote(services, { service, candidate, epoch, roleLease });
  if (Either.isLeft(promoted)) {
    await roleLease.release();
    return `epoch ${epoch} abandoned: ${promoted.left}`;
  }
  // Written before the role is released, so that the next holder reads it, however long it was frozen or partitioned (design 7.14).
  const isRecorded = await recordElected(services, service, {
    epoch,
    primary: candidate.placement.member,
    wonBy: context.self,
    position: candidate.state.received,
    settledAt: runtime.clock.wall(),
  });
  await roleLease.release();
  return isRecorded
    ? `epoch ${epoch}: ${candidate.placement.member} elected`
    : `epoch ${epoch}: candidate promoted, but not recorded as elected`;
}

function create(services: ElectionServices): CandidacyRunner {
  const { runtime, context } = services;
  const roles = new Map<string, SingletonRole>();

  /** Creates one role per service and keeps it, since it remembers when this process called the platform last. */
  function promotionRoleOf(service: string): SingletonRole {
    const existing = roles.get(service);
    if (existing !== undefined) return existing;
    const handoverDelay = Option.isSome(context.platformCalls) ? context.platformCalls.value.handoverDelayMilliseconds : 0;
    const created = singletonRole.create(runtime, `promotion/${service}`, context.self, handoverDelay);
    roles.set(service, created);
    return created;
  }

  async function run(service: ServicePlacement): Promise<string> {
    const chosen = await chooseCandidate(services, service);
    if (Either.isLeft(chosen)) return chosen.left;
    const { candidate, highestEpoch } = chosen.right;
    const proposal = {
      service: service.service,
      epoch: highestEpoch + 1,
      candidate: candidate.placement.member,
      position: candidate.state.received,
    };
    const { epoch } = proposal;
    runtime.log('election.propose', proposal);
    const majority = await voteCollection.collect(services, { ...proposal, node: context.self, membership: context.membershipVersion() });
    if (Either.isLeft(majority)) return `epoch ${epoch} not won: ${majority.left}`;
    const [isCaughtUp, roleLease] = await Promise.all([
      successionWait.wait(services, service, candidate, epoch, majority.right),
      acquireRole(services, promotionRoleOf(service.service), service.service, epoch),
    ]);
    if (Option.isNone(roleLease))
      return `epoch ${epoch} abandoned: another process holds the promotion role, or a primary was elected at this or a later epoch`;
    if (!isCaughtUp) {
      await roleLease.value.release();
      return `epoch ${epoch} abandoned: the candidate did not catch up with all acknowledged writes in time`;
    }
    return promoteAndRecord(services, service.service, { epoch, candidate }, roleLease.value);
  }

  return { run };
}

/** @internal */
export const candidacyRunner = { create } as const;
