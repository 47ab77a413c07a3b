/** One candidacy, in its order: STATE, proposal, wait, promotion, the elected primary in the register (design 7.2 to 7.6, 7.14). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers } from '@stallstall/kernel';
import type { ElectedPrimary, Entry } from '@stallstall/message';
import type { ServicePlacement } from '@stallstall/placement';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { candidates, type Candidate } from './candidates.js';
import { durableWatermark } from './durable-watermark.js';
import type { ElectionServices } from './election-services.js';
import { promotions } from './promotion.js';
import type { RoleLease } from './role-lease.js';
import { singletonRole, type SingletonRole } from './singleton-role.js';
import { successionWait } from './succession-wait.js';
import { voteCollection } from './vote-collection.js';

/** Runs candidacies of one process. @internal */
export type Candidacies = Readonly<{
  /** Resolves to what became of it, in words for operators. */
  run: (service: ServicePlacement) => Promise<string>;
}>;

/** What has been decided by a majority before the winner promotes anybody. */
type Victory = Readonly<{ epoch: number; candidate: Candidate }>;

const roleTimeoutMilliseconds = 2 * (leaseTermMilliseconds + leaseMarginMilliseconds);
const rolePollMilliseconds = 250;
const registerMilliseconds = 1_000;

function electedKey(service: string): string {
  return `epoch/${service}`;
}

function electedEpochOf(entry: Option.Option<Entry>): number {
  return Option.isSome(entry) ? (entry.value.value as ElectedPrimary).epoch : 0;
}

/**
 * Whether a majority of cores knows of no epoch as late, asked under the role: a node that was frozen or cut off since it won learns here
 * what was elected meanwhile, before it promotes anybody (design 7.14).
 */
async function isStillOpen({ register }: ElectionServices, service: string, epoch: number): Promise<boolean> {
  const read = await register.read(electedKey(service), registerMilliseconds);
  if (Either.isLeft(read)) return false;
  const settled = electedEpochOf(read.right);
  return settled < epoch;
}

/** Writes the elected primary; false when a later one stands, or when no majority of cores took it. */
async function commit({ register }: ElectionServices, service: string, elected: ElectedPrimary): Promise<boolean> {
  const written = await register.change(electedKey(service), function next(current) {
    return Option.isSome(current) && electedEpochOf(current) >= elected.epoch ? Option.none : Option.some(elected);
  });
  return Either.isRight(written) && Option.isSome(written.right.entry) && electedEpochOf(written.right.entry) === elected.epoch;
}

/** Takes the promotion role; none when another holds it, or when an epoch as late was elected. */
async function acquireRole(
  services: ElectionServices,
  role: SingletonRole,
  service: string,
  epoch: number,
): Promise<Option.Option<RoleLease>> {
  const { runtime, epochs } = services;
  const deadline = identifiers.after(runtime.clock.now(), roleTimeoutMilliseconds);
  while (runtime.clock.now() < deadline && !epochs.isOvertaken(service, epoch)) {
    const lease = await role.tryAcquire();
    if (Option.isSome(lease)) {
      if (await isStillOpen(services, service, epoch)) return lease;
      await lease.value.release();
      return Option.none;
    }
    await runtime.clock.sleep(rolePollMilliseconds);
  }
  return Option.none;
}

/** The member to propose, or the reason why there is none. */
async function chooseCandidate(
  services: ElectionServices,
  service: ServicePlacement,
): Promise<Either.Either<string, Readonly<{ candidate: Candidate; highestEpoch: number }>>> {
  const [members, watermark] = await Promise.all([
    candidates.readStates(services, service),
    durableWatermark.read(services, service.service),
  ]);
  if (Option.isNone(watermark)) return Either.left('what was acknowledged cannot be read: no majority of cores replies');
  if (!candidates.coverAllCommits(services, service, members)) {
    return Either.left('too few members gave their STATE: an acknowledged commit may be on another alone');
  }
  const chosen = candidates.choose(services, service, members, watermark.value);
  if (Option.isNone(chosen)) return Either.left('no eligible replica: each is out of reach or lacks acknowledged writes');
  const highestEpoch = Math.max(services.epochs.currentEpoch(service.service), ...members.map(({ state }) => state.epoch));
  return Either.right({ candidate: chosen.value, highestEpoch });
}

/** Promotes the winner under the role and commits it; the role is released whatever becomes of it. */
async function promoteAndCommit(
  services: ElectionServices,
  service: string,
  { epoch, candidate }: Victory,
  role: RoleLease,
): Promise<string> {
  const { runtime, context } = services;
  const promoted = await promotions.promote(services, { service, chosen: candidate, epoch, role });
  if (Either.isLeft(promoted)) {
    await role.release();
    return `epoch ${epoch} given up: ${promoted.left}`;
  }
  // Committed before the role is released: whoever takes it next reads it, however long it was away (design 7.14).
  const isCommitted = await commit(services, service, {
    epoch,
    primary: candidate.member.member,
    wonBy: context.self,
    position: candidate.state.received,
    settledAt: runtime.clock.wall(),
  });
  await role.release();
  return isCommitted ? `epoch ${epoch} settled on ${candidate.member.member}` : `epoch ${epoch} promoted but not settled`;
}

function create(services: ElectionServices): Candidacies {
  const { runtime, context } = services;
  const roles = new Map<string, SingletonRole>();

  /** One for each service and process: it remembers when it acted last. */
  function roleOf(service: string): SingletonRole {
    const known = roles.get(service);
    if (known !== undefined) return known;
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
      candidate: candidate.member.member,
      position: candidate.state.received,
    };
    const { epoch } = proposal;
    runtime.log('election.propose', proposal);
    const majority = await voteCollection.collect(services, { ...proposal, node: context.self, membership: context.membershipVersion() });
    if (Either.isLeft(majority)) return `epoch ${epoch} not won: ${majority.left}`;
    const [isCaughtUp, role] = await Promise.all([
      successionWait.wait(services, service, candidate, epoch, majority.right),
      acquireRole(services, roleOf(service.service), service.service, epoch),
    ]);
    if (Option.isNone(role)) return `epoch ${epoch} given up: another holds the promotion duty, or has settled an epoch as late`;
    if (!isCaughtUp) {
      await role.value.release();
      return `epoch ${epoch} given up: the candidate never held all acknowledged writes`;
    }
    return promoteAndCommit(services, service.service, { epoch, candidate }, role.value);
  }

  return { run };
}

/** @internal */
export const candidacies = { create } as const;
