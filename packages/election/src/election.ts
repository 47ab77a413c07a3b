// The election that runs inside every node and decides each service's primary (design 7).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  kernel as kernels,
  type Fault,
  type OutgoingHttpRequest,
  type Instant,
  type Kernel,
  type Repeatable,
} from '@stallstall/kernel';
import {
  DurableWatermarkSchema,
  message,
  type Request,
  type Entry,
  type DurableWatermark,
  type Membership,
  type Reply,
  type ElectedPrimary,
} from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { durableReportsService, registerService } from '@stallstall/register';
import { quorumLeaseService, marginMilliseconds, termMilliseconds } from '@stallstall/quorum-lease';
import { placements, type Sheet, type SheetMember, type SheetService } from '@stallstall/placement';
import { singletonRole, type SingletonRole, type RoleLease } from './singleton-role.js';
import { downAfterMilliseconds, livenessService, type MemberState } from './liveness.js';

/** The paper's election timeout. */
export const electionTimeoutMilliseconds = 3_000;

export type Vote = Readonly<{ epoch: number; candidate: string; proposer: string }>;

/** Where a node's votes survive its restart: a core's own disk, or the register for an edge (design 7.2). */
export type VoteStore = Readonly<{
  load: (service: string) => Promise<Either.Either<Fault, Option.Option<Vote>>>;
  /** True once the vote is durable; false when a vote as high was there before it. */
  record: (service: string, vote: Vote) => Promise<boolean>;
}>;

/**
 * A call that is made again, unchanged, until its outcome is known: whoever puts it into a platform's words states that the platform takes
 * it once (design 8.14).
 */
export type PlatformCall = OutgoingHttpRequest & Readonly<{ repeatable: Extract<Repeatable, 'unchanged'> }>;

/** How the platform is called and what members understand, where it is not this product's own HTTP (design 7.13). */
export type PlatformCalls = Readonly<{
  promotion: (call: Readonly<{ service: string; member: string; epoch: number; fencingToken: number; holder: string }>) => PlatformCall;
  usage: (
    call: Readonly<{ window: number; counts: Readonly<Record<string, number>>; fencingToken: number; holder: string }>,
  ) => PlatformCall;
  /** Milliseconds that a holder which has acted leaves before it acts again, should another have acted in between. */
  handoverDelayMilliseconds: number;
}>;

export type ElectionContext = Readonly<{
  /** None: members are told epochs over this product's own HTTP. */
  calls: Option.Option<PlatformCalls>;
  /** Edges that were granted a lease by this node within a term and its margin; none while a process before this one may have granted some. */
  leaseHolders: () => Option.Option<readonly string[]>;
  /** Whether these edges have told that nothing of theirs is under way below an epoch (design 7.12). */
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  /** Told once this node stands at another epoch. */
  onEpochRaised: () => void;
  self: string;
  membership: () => Membership;
  membershipVersion: () => number;
  placement: () => Option.Option<Sheet>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** Where the platform is, asked at each call. */
  platform: () => string;
  propose: (node: string, ask: Request<'propose'>) => Promise<Option.Option<Reply<'propose'>>>;
}>;

export type Election = Readonly<{
  handleProposal: (ask: Request<'propose'>) => Promise<Reply<'propose'>>;
  /** The epoch this node stands at for a service; none while its own vote is not yet known. */
  epochOf: (service: string) => Option.Option<number>;
  step: () => void;
  describe: () => ReadonlyArray<Readonly<Record<string, string | number>>>;
}>;

/** How long a vote without a settled epoch is given before another candidacy. */
const patienceMilliseconds = termMilliseconds + marginMilliseconds + electionTimeoutMilliseconds;
/** Nodes stand one after the other, further apart than they look for elections: who comes second sees the vote of the first. */
const rankMilliseconds = 120;
const rankApartMilliseconds = 450;
const probeMilliseconds = 800;
/** A platform may take its time: the duty is renewed beside the call, and the candidate's own STATE is looked at meanwhile. */
const promoteMilliseconds = 8_000;
/** Where a promotion may be asked for again without harm, a platform that says nothing is asked again this soon. */
const promoteAgainMilliseconds = 1_500;
const promotedLookMilliseconds = 300;
/** So long a promotion that the platform has taken may need to take effect before it is asked for again. */
const effectMilliseconds = 3_000;
const effectLookMilliseconds = 40;
/** The duty is renewed this often while a promotion takes effect. */
const effectRenewMilliseconds = 500;
const orderMilliseconds = 12_000;
const catchUpMilliseconds = 5_000;
const releaseLookMilliseconds = 10;
const catchUpLookMilliseconds = 20;

type Standing = {
  voted: Option.Option<Vote>;
  loaded: boolean;
  loading: boolean;
  votedAt: Instant;
  knownSince: Instant;
  wantedSince: Option.Option<Instant>;
  running: boolean;
  lastOutcome: string;
};

/** When the majority of ACCEPTs was complete, and which edges its voters had granted leases; none if one of them can't say. */
type Majority = Readonly<{ at: Instant; lessees: Option.Option<readonly string[]> }>;

type Found = Readonly<{ member: SheetMember; state: MemberState }>;

function better(left: Found, right: Found): number {
  if (left.state.epoch !== right.state.epoch) return right.state.epoch - left.state.epoch;
  if (left.state.received !== right.state.received) return right.state.received - left.state.received;
  // Who leads already need not be promoted.
  if (left.state.role !== right.state.role) return left.state.role === 'primary' ? -1 : 1;
  return left.member.member < right.member.member ? -1 : 1;
}

const nothing: DurableWatermark = { epoch: 0, position: 0 };

/** Where an operator's word stands that a loss is accepted. */
export function acceptedLossKey(service: string): string {
  return `waived/${service}`;
}

/** Whether a member holds all that was acknowledged: a later epoch began with all of it (design 7.5). */
function reaches(state: MemberState, floor: DurableWatermark): boolean {
  return state.epoch > floor.epoch || (state.epoch === floor.epoch && state.received >= floor.position);
}

function create(kernel: Kernel, view: ElectionContext, votes: VoteStore): Election {
  const register = kernel.services.find(registerService);
  const notes = kernel.services.find(durableReportsService);
  const liveness = kernel.services.find(livenessService);
  const terms = kernel.services.find(quorumLeaseService);
  const standings = new Map<string, Standing>();

  function standingOf(service: string): Standing {
    let standing = standings.get(service);
    if (standing === undefined) {
      const now = kernel.clock.now();
      standing = {
        voted: Option.none,
        loaded: false,
        loading: false,
        votedAt: now,
        knownSince: now,
        wantedSince: Option.none,
        running: false,
        lastOutcome: 'none yet',
      };
      standings.set(service, standing);
    }
    return standing;
  }

  function settledEpoch(service: string): number {
    const settled = view.electedPrimary(service);
    return Option.isSome(settled) ? settled.value.epoch : 0;
  }

  /** The highest epoch this node has voted for, or that was voted before its membership table was made (design 4.2). */
  function votedEpoch(service: string, standing: Standing): number {
    return Math.max(Option.isSome(standing.voted) ? standing.voted.value.epoch : 0, view.membership().epochs[service] ?? 0);
  }

  async function load(service: string, standing: Standing): Promise<void> {
    if (standing.loaded || standing.loading) return;
    standing.loading = true;
    const loaded = await votes.load(service);
    standing.loading = false;
    if (Either.isLeft(loaded)) return;
    if (Option.isSome(loaded.right) && loaded.right.value.epoch > votedEpoch(service, standing)) standing.voted = loaded.right;
    standing.votedAt = kernel.clock.now();
    standing.loaded = true;
  }

  function epochOf(service: string): Option.Option<number> {
    const standing = standingOf(service);
    return standing.loaded ? Option.some(Math.max(settledEpoch(service), votedEpoch(service, standing))) : Option.none;
  }

  function serviceOf(service: string): SheetService | undefined {
    const sheet = view.placement();
    return Option.isSome(sheet) ? placements.service(sheet.value, service) : undefined;
  }

  function primaryOf(service: SheetService): SheetMember | undefined {
    const settled = view.electedPrimary(service.service);
    return Option.isSome(settled) ? service.members.find((member) => member.member === settled.value.primary) : undefined;
  }

  /** The primary, when this node sees it alive and no sheet asks it to go. */
  function livePrimary(service: SheetService): SheetMember | undefined {
    const primary = primaryOf(service);
    return primary !== undefined && primary.state === 'serving' && liveness.isAlive(primary.member) ? primary : undefined;
  }

  function denial(ask: Request<'propose'>, standing: Standing): Option.Option<string> {
    const service = serviceOf(ask.service);
    if (service === undefined) return Option.some('no such service in the sheet obeyed here');
    if (!standing.loaded) return Option.some('own vote not yet read back');
    if (ask.membership !== view.membershipVersion()) return Option.some('another version of the membership table is obeyed here');
    if (ask.epoch <= settledEpoch(ask.service)) return Option.some('that epoch is settled');
    if (ask.epoch <= votedEpoch(ask.service, standing)) return Option.some('voted as high already');
    const candidate = service.members.find((member) => member.member === ask.candidate);
    if (candidate === undefined || candidate.state !== 'serving') return Option.some('the candidate is not serving');
    const primary = livePrimary(service);
    if (primary !== undefined && primary.member !== ask.candidate) return Option.some('the primary is alive');
    return Option.none;
  }

  async function consider(ask: Request<'propose'>): Promise<Reply<'propose'>> {
    const standing = standingOf(ask.service);
    await load(ask.service, standing);
    const denied = denial(ask, standing);
    if (Option.isSome(denied)) {
      return { accepted: false, reason: denied.value, epoch: Math.max(settledEpoch(ask.service), votedEpoch(ask.service, standing)) };
    }
    // Raised in memory before the write begins: from here on this node no longer counts for the older epoch (7.3).
    const vote: Vote = { epoch: ask.epoch, candidate: ask.candidate, proposer: ask.node };
    standing.voted = Option.some(vote);
    standing.votedAt = kernel.clock.now();
    view.onEpochRaised();
    const recorded = await votes.record(ask.service, vote);
    const known = view.leaseHolders();
    // A vote that became durable as the set of cores changed is of no set: the barrier was asked for without it (design 4.8).
    const durable = recorded && (Option.isNone(view.calls) || ask.membership === view.membershipVersion());
    return {
      accepted: durable,
      reason: durable ? 'accepted' : 'the vote did not become durable',
      epoch: ask.epoch,
      ...(Option.isSome(known) ? { lessees: [...known.value] } : {}),
    };
  }

  async function states(service: SheetService): Promise<readonly Found[]> {
    const replies = await Promise.all(
      service.members.map(async function ask(member): Promise<Option.Option<Found>> {
        const state = await liveness.probe(member.member, member.address, probeMilliseconds, service.service);
        return Either.isRight(state) ? Option.some({ member, state: state.right.state }) : Option.none;
      }),
    );
    return replies.flatMap((one) => (Option.isSome(one) ? [one.value] : []));
  }

  /** What was acknowledged up to now, read from a majority of core disks; none while no majority replies. */
  async function floorOf(service: string): Promise<Option.Option<DurableWatermark>> {
    const [floors, waived] = await Promise.all([notes.watermarks(), register.read(acceptedLossKey(service), 1_500)]);
    if (Either.isLeft(floors) || Either.isLeft(waived)) return Option.none;
    const floor = floors.right[service] ?? nothing;
    // An operator has given up all that was acknowledged up to here (design 7.11).
    const given =
      Option.isSome(waived.right) && message.matches(DurableWatermarkSchema, waived.right.value.value) ? waived.right.value.value : nothing;
    return Option.some(message.compareWatermarks(floor, given) <= 0 ? nothing : floor);
  }

  /** Highest received position among the eligible, lowest id on ties; never below the floor (design 7.5). */
  function choose(service: SheetService, found: readonly Found[], floor: DurableWatermark): Option.Option<Found> {
    const primary = livePrimary(service);
    const eligible = found.filter(
      (one) =>
        one.member.state === 'serving' &&
        (primary === undefined || one.member.member === primary.member) &&
        (Option.isSome(view.calls) || one.state.epoch >= settledEpoch(service.service)) &&
        reaches(one.state, floor),
    );
    return Option.fromNullable([...eligible].sort(better)[0]);
  }

  /**
   * A commit that was acknowledged is on its primary and on as many replicas as the sheet says. Of N members any N less that many hold
   * at least one that has it (design 7.5).
   */
  function holdsAll(service: SheetService, found: readonly Found[]): boolean {
    return (
      Option.isNone(view.calls) || service.synchronousReplicas === 0 || found.length >= service.members.length - service.synchronousReplicas
    );
  }

  function collectAccepts(ask: Request<'propose'>): Promise<Either.Either<string, Majority>> {
    const nodes = view.membership().seats.map((seat) => seat.node);
    const needed = quorum.majority(nodes.length);
    return new Promise(function count(resolve) {
      let accepts = 0;
      let left = nodes.length;
      let lastReason = 'no answer';
      const lessees = new Set<string>();
      let blind = false;
      kernel.clock.startTimer(electionTimeoutMilliseconds, function late() {
        resolve(Either.left(`${accepts} of ${needed} ACCEPTs in time; ${lastReason}`));
      });
      async function askNode(node: string): Promise<void> {
        const reply = node === view.self ? Option.some(await consider(ask)) : await view.propose(node, ask);
        left -= 1;
        if (Option.isSome(reply) && reply.value.accepted) {
          accepts += 1;
          if (reply.value.lessees === undefined) blind = true;
          for (const lessee of reply.value.lessees ?? []) lessees.add(lessee);
        } else if (Option.isSome(reply)) lastReason = reply.value.reason;
        if (accepts >= needed) resolve(Either.right({ at: kernel.clock.now(), lessees: blind ? Option.none : Option.some([...lessees]) }));
        else if (left === 0) resolve(Either.left(`${accepts} of ${needed} ACCEPTs; ${lastReason}`));
      }
      for (const node of nodes) void askNode(node);
    });
  }

  function outvoted(service: string, epoch: number): boolean {
    return settledEpoch(service) >= epoch || votedEpoch(service, standingOf(service)) > epoch;
  }

  /** Waits until nobody can act on the older epoch, and until the candidate holds all that was acknowledged under it. */
  async function waitOut(service: SheetService, chosen: Found, epoch: number, majority: Majority): Promise<boolean> {
    const opensAt = identifiers.after(majority.at, termMilliseconds + marginMilliseconds);
    // Where every edge that any of these voters granted a lease has let go of it, nobody is left to be waited out (design 7.12).
    while (
      kernel.clock.now() < opensAt &&
      !(Option.isSome(view.calls) && Option.isSome(majority.lessees) && view.hasReleased(service.service, epoch, majority.lessees.value))
    ) {
      await kernel.clock.sleep(
        Option.isSome(view.calls) ? Math.min(releaseLookMilliseconds, opensAt - kernel.clock.now()) : opensAt - kernel.clock.now(),
      );
    }
    const horizon = identifiers.after(kernel.clock.now(), catchUpMilliseconds);
    const before = primaryOf(service);
    while (kernel.clock.now() < horizon && !outvoted(service.service, epoch)) {
      // Read after the wait: what any edge has acknowledged under the older epoch is on a majority of disks by now.
      const [found, floor] = await Promise.all([states(service), floorOf(service.service)]);
      const candidate = found.find((one) => one.member.member === chosen.member.member);
      // Whoever holds most of what was received when all were asked holds all that was acknowledged.
      const furthest = Option.isSome(view.calls) && service.synchronousReplicas > 0 ? [...found].sort(better)[0] : undefined;
      const complete =
        furthest === undefined ||
        (holdsAll(service, found) &&
          candidate !== undefined &&
          candidate.state.epoch === furthest.state.epoch &&
          candidate.state.received >= furthest.state.received);
      const old = found.find((one) => one.member.member === before?.member && one.state.epoch === chosen.state.epoch);
      const target = old === undefined || old === candidate ? 0 : old.state.received;
      if (
        complete &&
        candidate !== undefined &&
        Option.isSome(floor) &&
        reaches(candidate.state, floor.value) &&
        candidate.state.received >= target
      )
        return true;
      await kernel.clock.sleep(Option.isSome(view.calls) ? catchUpLookMilliseconds : 100);
    }
    return false;
  }

  /** One for each service and process: it remembers when it acted last. */
  const duties = new Map<string, SingletonRole>();

  function dutyOf(service: string): SingletonRole {
    const known =
      duties.get(service) ??
      singletonRole.create(
        kernel,
        `promotion/${service}`,
        view.self,
        Option.isSome(view.calls) ? view.calls.value.handoverDelayMilliseconds : 0,
      );
    duties.set(service, known);
    return known;
  }

  async function seekDuty(service: string, epoch: number): Promise<Option.Option<RoleLease>> {
    const promotion = dutyOf(service);
    const horizon = identifiers.after(kernel.clock.now(), 2 * (termMilliseconds + marginMilliseconds));
    while (kernel.clock.now() < horizon && !outvoted(service, epoch)) {
      const holding = await promotion.tryAcquire();
      if (Option.isSome(holding)) {
        if (await isUnsettled(service, epoch)) return holding;
        await holding.value.release();
        return Option.none;
      }
      await kernel.clock.sleep(250);
    }
    return Option.none;
  }

  /** Only this turn's call can have told a member this epoch, so its own STATE is proof that the call took effect. */
  async function isPromoted(service: string, chosen: Found, epoch: number): Promise<boolean> {
    const { member } = chosen;
    const state = await liveness.probe(member.member, member.address, probeMilliseconds, service);
    if (Either.isLeft(state) || state.right.state.role !== 'primary') return false;
    if (Option.isNone(view.calls)) return state.right.state.epoch === epoch;
    // Members count terms of their own: only a promotion that this candidacy asked for can have raised it.
    return chosen.state.role === 'primary' || (state.right.state.term ?? 0) > (chosen.state.term ?? 0);
  }

  async function call(service: SheetService, member: SheetMember, epoch: number, holding: RoleLease): Promise<Either.Either<Fault, null>> {
    const ask: PlatformCall = Option.isSome(view.calls)
      ? view.calls.value.promotion({
          service: service.service,
          member: member.member,
          epoch,
          fencingToken: holding.fencingToken,
          holder: view.self,
        })
      : {
          repeatable: 'unchanged',
          method: 'POST',
          path: '/v1/promotions',
          body: { service: service.service, member: member.member, epoch, turn: holding.fencingToken },
        };
    const reply = await holding.call(
      identifiers.address(view.platform()),
      ask,
      Option.isSome(view.calls) ? promoteAgainMilliseconds : promoteMilliseconds,
    );
    if (Either.isLeft(reply)) return reply;
    if (reply.right.status === 200) return Either.right(null);
    const over = reply.right.status === 409;
    return Either.left(
      fault.create({
        kind: over ? 'superseded' : 'unreachable',
        message: `the platform replied a promotion with ${reply.right.status}`,
        remedy: over ? 'a later turn is known there; this one is over' : 'it is asked again',
      }),
    );
  }

  /**
   * Waits until the candidate leads by its own STATE. Its log may lack what was acknowledged until then, so no lease may be granted for
   * it on the platform's reply alone (design 7.13).
   */
  async function takesEffect(service: string, chosen: Found, epoch: number, holding: RoleLease): Promise<boolean> {
    const horizon = identifiers.after(kernel.clock.now(), effectMilliseconds);
    let renewsAt = identifiers.after(kernel.clock.now(), effectRenewMilliseconds);
    while (kernel.clock.now() < horizon && !outvoted(service, epoch)) {
      if (await isPromoted(service, chosen, epoch)) return true;
      if (kernel.clock.now() >= renewsAt) {
        if (!(await holding.renew())) return false;
        renewsAt = identifiers.after(kernel.clock.now(), effectRenewMilliseconds);
      }
      await kernel.clock.sleep(effectLookMilliseconds);
    }
    return false;
  }

  async function order(service: SheetService, chosen: Found, epoch: number, holding: RoleLease): Promise<Either.Either<string, null>> {
    const horizon = identifiers.after(kernel.clock.now(), orderMilliseconds);
    let last = 'no call was made';
    while (kernel.clock.now() < horizon) {
      if (outvoted(service.service, epoch)) return Either.left('a later epoch was voted');
      let replied: Option.Option<Either.Either<Fault, null>> = Option.none;
      const calling = call(service, chosen.member, epoch, holding).then((reply) => {
        replied = Option.some(reply);
      });
      while (Option.isNone(replied)) {
        await Promise.race([calling, kernel.clock.sleep(promotedLookMilliseconds)]);
        if (Option.isSome(replied)) break;
        if (await isPromoted(service.service, chosen, epoch)) return Either.right(null);
        if (outvoted(service.service, epoch)) return Either.left('a later epoch was voted');
      }
      const reply = (replied as Option.Some<Either.Either<Fault, null>>).value;
      if (Either.isRight(reply)) {
        if (Option.isNone(view.calls) || (await takesEffect(service.service, chosen, epoch, holding))) return Either.right(null);
        last = 'the platform took the promotion, and the candidate does not lead yet';
        continue;
      }
      if (await isPromoted(service.service, chosen, epoch)) return Either.right(null);
      last = reply.left.message;
      if (fault.kind(reply.left) === 'superseded') return Either.left(last);
      await kernel.clock.sleep(200);
    }
    return Either.left(last);
  }

  /**
   * Whether a majority of cores knows of no epoch as late, asked under the duty: who was frozen or cut off since its ACCEPTs learns here
   * what was settled meanwhile, before it promotes anybody (design 7.14).
   */
  async function isUnsettled(service: string, epoch: number): Promise<boolean> {
    const read = await register.read(`epoch/${service}`, 1_000);
    if (Either.isLeft(read)) return false;
    const settled = Option.isSome(read.right) ? (read.right.value.value as ElectedPrimary).epoch : 0;
    return settled < epoch;
  }

  async function settle(service: string, settled: ElectedPrimary): Promise<boolean> {
    const written = await register.change(`epoch/${service}`, function next(current: Option.Option<Entry>) {
      const standing = Option.isSome(current) ? (current.value.value as ElectedPrimary) : undefined;
      return standing !== undefined && standing.epoch >= settled.epoch ? Option.none : Option.some(settled);
    });
    return (
      Either.isRight(written) &&
      Option.isSome(written.right.entry) &&
      (written.right.entry.value.value as ElectedPrimary).epoch === settled.epoch
    );
  }

  /** One candidacy, written straight down: STATE, PROPOSE, the wait, the promotion, the settled epoch. */
  async function stand(service: SheetService): Promise<string> {
    const [found, floor] = await Promise.all([states(service), floorOf(service.service)]);
    if (Option.isNone(floor)) return 'what was acknowledged cannot be read: no majority of cores replies';
    if (!holdsAll(service, found)) return 'too few members gave their STATE: an acknowledged commit may be on another alone';
    const chosen = choose(service, found, floor.value);
    if (Option.isNone(chosen)) return 'no eligible replica: each is out of reach or lacks acknowledged writes';
    const standing = standingOf(service.service);
    const epoch =
      1 + Math.max(settledEpoch(service.service), votedEpoch(service.service, standing), ...found.map((one) => one.state.epoch));
    const candidate = chosen.value;
    kernel.log('elect.propose', {
      service: service.service,
      epoch,
      candidate: candidate.member.member,
      position: candidate.state.received,
    });
    const majority = await collectAccepts({
      service: service.service,
      epoch,
      candidate: candidate.member.member,
      position: candidate.state.received,
      node: view.self,
      membership: view.membershipVersion(),
    });
    if (Either.isLeft(majority)) return `epoch ${epoch} not won: ${majority.left}`;
    const [waited, holding] = await Promise.all([waitOut(service, candidate, epoch, majority.right), seekDuty(service.service, epoch)]);
    if (Option.isNone(holding)) return `epoch ${epoch} given up: another holds the promotion duty, or has settled an epoch as late`;
    if (!waited) {
      await holding.value.release();
      return `epoch ${epoch} given up: the candidate never held all acknowledged writes`;
    }
    const promoted = await order(service, candidate, epoch, holding.value);
    if (Either.isLeft(promoted)) {
      await holding.value.release();
      return `epoch ${epoch} given up: ${promoted.left}`;
    }
    // Settled before the duty is let go: whoever takes it next reads it, however long it was away (design 7.14).
    const done = await settle(service.service, {
      epoch,
      primary: candidate.member.member,
      wonBy: view.self,
      position: candidate.state.received,
      settledAt: kernel.clock.wall(),
    });
    await holding.value.release();
    return done ? `epoch ${epoch} settled on ${candidate.member.member}` : `epoch ${epoch} promoted but not settled`;
  }

  function wanted(service: SheetService, standing: Standing): boolean {
    const now = kernel.clock.now();
    if (Option.isNone(view.electedPrimary(service.service))) return now - standing.knownSince >= downAfterMilliseconds;
    const primary = primaryOf(service);
    if (primary === undefined || primary.state === 'draining') return true;
    return !liveness.isAlive(primary.member) && now - standing.knownSince >= downAfterMilliseconds;
  }

  function rank(): number {
    return Math.max(
      0,
      view.membership().seats.findIndex((seat) => seat.node === view.self),
    );
  }

  async function run(service: SheetService, standing: Standing): Promise<void> {
    standing.running = true;
    standing.lastOutcome = await stand(service);
    kernel.log('elect.outcome', { service: service.service, outcome: standing.lastOutcome });
    standing.running = false;
    standing.wantedSince = Option.none;
  }

  function stepService(service: SheetService): void {
    const standing = standingOf(service.service);
    if (!standing.loaded) {
      void load(service.service, standing);
      return;
    }
    if (standing.running) return;
    const now = kernel.clock.now();
    const pending = votedEpoch(service.service, standing) > settledEpoch(service.service);
    const due = pending ? now - standing.votedAt >= patienceMilliseconds : wanted(service, standing);
    if (!due) {
      standing.wantedSince = Option.none;
      return;
    }
    const startsAt = Option.isSome(standing.wantedSince)
      ? standing.wantedSince.value
      : identifiers.after(
          now,
          Option.isSome(view.calls) ? rank() * rankApartMilliseconds : (rank() + kernel.randomness.fraction()) * rankMilliseconds,
        );
    standing.wantedSince = Option.some(startsAt);
    if (now < startsAt) return;
    // Who cannot see a majority does not stand: it would only raise its own epoch out of step with the rest.
    const seats = view.membership().seats;
    const peers = seats.map((seat) => seat.node).filter((node) => node !== view.self);
    if (!seats.some((seat) => seat.node === view.self) || terms.reachable(now, peers) < quorum.majority(seats.length)) return;
    void run(service, standing);
  }

  function step(): void {
    const sheet = view.placement();
    if (Option.isSome(sheet)) for (const service of sheet.value.services) stepService(service);
  }

  function describe(): ReadonlyArray<Readonly<Record<string, string | number>>> {
    return [...standings].map(([service, standing]) => {
      const settled = view.electedPrimary(service);
      return {
        service,
        epoch: settledEpoch(service),
        primary: Option.isSome(settled) ? settled.value.primary : '',
        voted: votedEpoch(service, standing),
        outcome: standing.lastOutcome,
      };
    });
  }

  return { handleProposal: consider, epochOf, step, describe };
}

export const electionService = kernels.serviceName<Election>('election');

export const election = { create } as const;
