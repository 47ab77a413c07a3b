/** Has the platform promote the member that won an election, until its own STATE shows that it leads (design 7.6, 7.13). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, identifiers, type Fault } from '@stallstall/kernel';
import { candidates, type Candidate } from './candidates.js';
import type { ElectionServices } from './election-services.js';
import type { PlatformCall } from './platform-calls.js';
import type { RoleLease } from './role-lease.js';

/** @internal */
export type Promotion = Readonly<{ service: string; chosen: Candidate; epoch: number; role: RoleLease }>;

const promotionTimeoutMilliseconds = 12_000;
/** A platform may be slow: the role is renewed beside the call, and the candidate's own STATE is read meanwhile. */
const callTimeoutMilliseconds = 8_000;
/** Where a promotion may be retried unchanged, a platform that does not reply is asked again this soon. */
const repeatableCallTimeoutMilliseconds = 1_500;
const retryMilliseconds = 200;
const statePollMilliseconds = 300;
/** So long a promotion that the platform has accepted may need to take effect before it is requested again. */
const effectTimeoutMilliseconds = 3_000;
const effectPollMilliseconds = 40;
/** The role is renewed this often while a promotion takes effect. */
const effectRenewMilliseconds = 500;

const overtaken = 'a later epoch was voted';

/** Only the call under this token can have told a member this epoch, so its own STATE is proof that the call took effect. */
async function isPromoted({ context, liveness }: ElectionServices, { service, chosen, epoch }: Promotion): Promise<boolean> {
  const { member, address } = chosen.member;
  const probed = await liveness.probe(member, address, candidates.probeMilliseconds, service);
  if (Either.isLeft(probed) || probed.right.state.role !== 'primary') return false;
  if (Option.isNone(context.platformCalls)) return probed.right.state.epoch === epoch;
  // Members count terms of their own: only a promotion that this candidacy asked for can have raised it.
  return chosen.state.role === 'primary' || (probed.right.state.term ?? 0) > (chosen.state.term ?? 0);
}

function requestOf({ context }: ElectionServices, { service, chosen, epoch, role }: Promotion): PlatformCall {
  const { member } = chosen.member;
  const { fencingToken } = role;
  if (Option.isSome(context.platformCalls))
    return context.platformCalls.value.promotion({ service, member, epoch, fencingToken, holder: context.self });
  return { repeatable: 'unchanged', method: 'POST', path: '/v1/promotions', body: { service, member, epoch, turn: fencingToken } };
}

function rejectedByPlatform(status: number): Fault {
  const isSuperseded = status === 409;
  return fault.create({
    kind: isSuperseded ? 'superseded' : 'unreachable',
    message: `the platform replied a promotion with ${status}`,
    remedy: isSuperseded ? 'a later fencing token is known there; this one is over' : 'it is asked again',
  });
}

async function callPlatform(services: ElectionServices, promotion: Promotion): Promise<Either.Either<Fault, null>> {
  const { context } = services;
  const timeout = Option.isSome(context.platformCalls) ? repeatableCallTimeoutMilliseconds : callTimeoutMilliseconds;
  const reply = await promotion.role.call(identifiers.address(context.platformAddress()), requestOf(services, promotion), timeout);
  if (Either.isLeft(reply)) return reply;
  return reply.right.status === 200 ? Either.right(null) : Either.left(rejectedByPlatform(reply.right.status));
}

/**
 * Waits until the candidate leads by its own STATE. Its log may lack what was acknowledged until then, so no lease may be granted for
 * it on the platform's reply alone (design 7.13).
 */
async function takesEffect(services: ElectionServices, promotion: Promotion): Promise<boolean> {
  const { runtime, epochs } = services;
  const { service, epoch, role } = promotion;
  const deadline = identifiers.after(runtime.clock.now(), effectTimeoutMilliseconds);
  let renewsAt = identifiers.after(runtime.clock.now(), effectRenewMilliseconds);
  while (runtime.clock.now() < deadline && !epochs.isOvertaken(service, epoch)) {
    if (await isPromoted(services, promotion)) return true;
    if (runtime.clock.now() >= renewsAt) {
      if (!(await role.renew())) return false;
      renewsAt = identifiers.after(runtime.clock.now(), effectRenewMilliseconds);
    }
    await runtime.clock.sleep(effectPollMilliseconds);
  }
  return false;
}

/** How one call ended: `promoted` and `overtaken` may be known before the platform replies. */
type CallOutcome =
  Readonly<{ kind: 'promoted' }> | Readonly<{ kind: 'overtaken' }> | Readonly<{ kind: 'replied'; reply: Either.Either<Fault, null> }>;

/** Makes one call, reading the candidate's STATE while the platform does not reply. */
async function callOnce(services: ElectionServices, promotion: Promotion): Promise<CallOutcome> {
  let replied: Option.Option<Either.Either<Fault, null>> = Option.none;
  const call = callPlatform(services, promotion).then(function keep(reply) {
    replied = Option.some(reply);
  });
  function currentReply(): Option.Option<Either.Either<Fault, null>> {
    return replied;
  }
  for (;;) {
    await Promise.race([call, services.runtime.clock.sleep(statePollMilliseconds)]);
    const reply = currentReply();
    if (Option.isSome(reply)) return { kind: 'replied', reply: reply.value };
    if (await isPromoted(services, promotion)) return { kind: 'promoted' };
    if (services.epochs.isOvertaken(promotion.service, promotion.epoch)) return { kind: 'overtaken' };
    const replyMeanwhile = currentReply();
    if (Option.isSome(replyMeanwhile)) return { kind: 'replied', reply: replyMeanwhile.value };
  }
}

/** Right once the candidate leads; left with the reason when it was given up. */
async function promote(services: ElectionServices, promotion: Promotion): Promise<Either.Either<string, null>> {
  const { runtime, context, epochs } = services;
  const deadline = identifiers.after(runtime.clock.now(), promotionTimeoutMilliseconds);
  let lastReason = 'no call was made';
  while (runtime.clock.now() < deadline) {
    if (epochs.isOvertaken(promotion.service, promotion.epoch)) return Either.left(overtaken);
    const outcome = await callOnce(services, promotion);
    if (outcome.kind === 'promoted') return Either.right(null);
    if (outcome.kind === 'overtaken') return Either.left(overtaken);
    if (Either.isRight(outcome.reply)) {
      if (Option.isNone(context.platformCalls) || (await takesEffect(services, promotion))) return Either.right(null);
      lastReason = 'the platform took the promotion, and the candidate does not lead yet';
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
