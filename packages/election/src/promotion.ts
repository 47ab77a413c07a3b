/** Calls the platform to promote the candidate that won an election, until the candidate's own STATE shows it as primary (design 7.6, 7.13). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault } from '@stallstall/kernel';
import { candidates, type Candidate } from './candidates.js';
import type { ElectionServices } from './election-services.js';
import type { PlatformCall } from './platform-calls.js';
import type { RoleLease } from './role-lease.js';

/** @internal */
export type Promotion = Readonly<{ service: string; candidate: Candidate; epoch: number; roleLease: RoleLease }>;

const promotionTimeoutMilliseconds = 12_000;
/** Long, since the platform may be slow: meanwhile the role is renewed and the candidate's own STATE is read. */
const callTimeoutMilliseconds = 8_000;
/** Shorter where a promotion may be retried unchanged: a platform that does not reply is called again after this time. */
const repeatableCallTimeoutMilliseconds = 1_500;
const retryMilliseconds = 200;
const statePollMilliseconds = 300;
/** How long a promotion that the platform has accepted may take until the candidate is primary; after that it is requested again. */
const effectTimeoutMilliseconds = 3_000;
const effectPollMilliseconds = 40;
/** How often the role is renewed while a promotion takes effect. */
const effectRenewMilliseconds = 500;

const supersededReason = 'this node voted for a later epoch, or a primary was elected at this or a later one';

/** A member can have learnt this epoch only from a call under this fencing token, so its own STATE proves that the call took effect. */
async function isPromoted({ context, liveness }: ElectionServices, { service, candidate, epoch }: Promotion): Promise<boolean> {
  const { member, address } = candidate.placement;
  const probed = await liveness.probe(member, address, candidates.probeTimeoutMilliseconds, service);
  if (Either.isLeft(probed) || probed.right.state.role !== 'primary') return false;
  if (Option.isNone(context.platformCalls)) return probed.right.state.epoch === epoch;
  // Members count their own terms: only the promotion that this candidacy requested can have raised the candidate's term.
  return candidate.state.role === 'primary' || (probed.right.state.term ?? 0) > (candidate.state.term ?? 0);
}

function requestOf({ context }: ElectionServices, { service, candidate, epoch, roleLease }: Promotion): PlatformCall {
  const { member } = candidate.placement;
  const { fencingToken } = roleLease;
  if (Option.isSome(context.platformCalls))
    return context.platformCalls.value.promotion({ service, member, epoch, fencingToken, holder: context.self });
  return { retrySafety: 'deduplicated', method: 'POST', path: '/v1/promotions', body: { service, member, epoch, turn: fencingToken } };
}

function rejectedByPlatform(status: number): Fault {
  const isSuperseded = status === 409;
  return fault.create({
    kind: isSuperseded ? 'superseded' : 'unreachable',
    message: `the platform rejected the promotion with status ${status}`,
    remedy: isSuperseded
      ? 'no action is needed: the platform has seen a later fencing token, so this candidacy ends'
      : 'no action is needed: the call is retried',
  });
}

async function callPlatform(services: ElectionServices, promotion: Promotion): Promise<Either.Either<Fault, null>> {
  const { context } = services;
  const timeout = Option.isSome(context.platformCalls) ? repeatableCallTimeoutMilliseconds : callTimeoutMilliseconds;
  const reply = await promotion.roleLease.call(identifiers.address(context.platformAddress()), requestOf(services, promotion), timeout);
  if (Either.isLeft(reply)) return reply;
  return reply.right.status === 200 ? Either.right(null) : Either.left(rejectedByPlatform(reply.right.status));
}

/**
 * Waits until the candidate's own STATE shows it as primary. Until then its log may lack acknowledged commits, so the platform's reply alone
 * is not enough to grant leases at the new epoch (design 7.13).
 */
async function takesEffect(services: ElectionServices, promotion: Promotion): Promise<boolean> {
  const { runtime, epochs } = services;
  const { service, epoch, roleLease } = promotion;
  const deadline = identifiers.after(runtime.clock.now(), effectTimeoutMilliseconds);
  let renewsAt = identifiers.after(runtime.clock.now(), effectRenewMilliseconds);
  while (runtime.clock.now() < deadline && !epochs.isSuperseded(service, epoch)) {
    if (await isPromoted(services, promotion)) return true;
    if (runtime.clock.now() >= renewsAt) {
      if (!(await roleLease.renew())) return false;
      renewsAt = identifiers.after(runtime.clock.now(), effectRenewMilliseconds);
    }
    await runtime.clock.sleep(effectPollMilliseconds);
  }
  return false;
}

/** The outcome of one call. `promoted` and `superseded` may be detected before the platform replies. */
type CallOutcome =
  Readonly<{ kind: 'promoted' }> | Readonly<{ kind: 'superseded' }> | Readonly<{ kind: 'replied'; reply: Either.Either<Fault, null> }>;

/** Makes one call, and reads the candidate's STATE while the platform has not replied. */
async function callOnce(services: ElectionServices, promotion: Promotion): Promise<CallOutcome> {
  let received: Option.Option<Either.Either<Fault, null>> = Option.none;
  const call = callPlatform(services, promotion).then(function storeReply(reply) {
    received = Option.some(reply);
  });
  function currentReply(): Option.Option<Either.Either<Fault, null>> {
    return received;
  }
  for (;;) {
    await Promise.race([call, services.runtime.clock.sleep(statePollMilliseconds)]);
    const reply = currentReply();
    if (Option.isSome(reply)) return { kind: 'replied', reply: reply.value };
    if (await isPromoted(services, promotion)) return { kind: 'promoted' };
    if (services.epochs.isSuperseded(promotion.service, promotion.epoch)) return { kind: 'superseded' };
    const replyAfterProbe = currentReply();
    if (Option.isSome(replyAfterProbe)) return { kind: 'replied', reply: replyAfterProbe.value };
  }
}

/** Right once the candidate is primary; left with the reason when the promotion is abandoned. */
async function promote(services: ElectionServices, promotion: Promotion): Promise<Either.Either<string, null>> {
  const { runtime, context, epochs } = services;
  const deadline = identifiers.after(runtime.clock.now(), promotionTimeoutMilliseconds);
  let lastReason = 'no call was made';
  while (runtime.clock.now() < deadline) {
    if (epochs.isSuperseded(promotion.service, promotion.epoch)) return Either.left(supersededReason);
    const outcome = await callOnce(services, promotion);
    if (outcome.kind === 'promoted') return Either.right(null);
    if (outcome.kind === 'superseded') return Either.left(supersededReason);
    if (Either.isRight(outcome.reply)) {
      if (Option.isNone(context.platformCalls) || (await takesEffect(services, promotion))) return Either.right(null);
      lastReason = 'the platform accepted the promotion, but the candidate is not primary yet';
      continue;
    }
    if (await isPromoted(services, promotion)) return Either.right(null);
    lastReason = outcome.reply.left.message;
    if (fault.kind(outcome.reply.left) === 'superseded') return Either.left(lastReason);
    await runtime.clock.sleep(retryMilliseconds);
  }
  return Either.left(lastReason);
}

/** @internal */
export const promotions = { promote } as const;
