/**
 * How long a member counts as draining at one core (design 4.7). Draining is final for the process that reported it, and neither a sequence
 * number nor silence tells a late heartbeat of that process from one of its successor. So a later report of being in service only raises a
 * question, which the member answers: while it replies to this core, the heartbeats of a draining process arrive as well.
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Instant } from '@stallstall/kernel';

/** The time during which the member has replied to this core's queries without a gap. */
type Contact = Readonly<{ since: Instant; latest: Instant }>;

/** A member that counts as draining. @internal */
export type Draining = Readonly<{
  /** When the latest heartbeat that reports it as draining was received by any core, or later. */
  reportedAt: Instant;
  /** The same for heartbeats that report it as in service; the draining is questioned while one of these is the later one. */
  inServiceAt: Option.Option<Instant>;
  /** Since the latest report of draining, while it is questioned. */
  contact: Option.Option<Contact>;
}>;

/**
 * A member that replies for this long, reports to be in service and never to be draining, is in service. The heartbeats of a member that a core
 * reaches come at shorter intervals, also if some of them are late.
 */
const confirmationMilliseconds = 12_000;
/** Contact has a gap after this time without a reply. */
const maximumGapMilliseconds = 3_000;

/** The state after a heartbeat that reports draining. */
function report(previous: Draining | undefined, reportedAt: Instant): Draining {
  if (previous === undefined) return { reportedAt, inServiceAt: Option.none, contact: Option.none };
  if (reportedAt <= previous.reportedAt) return previous;
  return { ...previous, reportedAt, contact: Option.filter(({ since }: Contact) => since > reportedAt)(previous.contact) };
}

/** The state after a heartbeat that reports to be in service. */
function reportInService(previous: Draining, inServiceAt: Instant): Draining {
  const isLatest = !Option.exists((at: Instant) => at >= inServiceAt)(previous.inServiceAt);
  return isLatest ? { ...previous, inServiceAt: Option.some(inServiceAt) } : previous;
}

/** Whether a later heartbeat reports the member as in service. */
function isQuestioned({ reportedAt, inServiceAt }: Draining): boolean {
  return Option.exists((at: Instant) => at > reportedAt)(inServiceAt);
}

/** The state after a reply of the member to this core. */
function recordReply(previous: Draining, repliedAt: Instant): Draining {
  if (!isQuestioned(previous)) return previous;
  const continued = Option.filter(({ latest }: Contact) => repliedAt - latest <= maximumGapMilliseconds)(previous.contact);
  const since = Option.isSome(continued) ? continued.value.since : repliedAt;
  return { ...previous, contact: Option.some({ since, latest: repliedAt }) };
}

/** Since when the member is known to be in service; none while it still counts as draining. */
function inServiceSince({ inServiceAt, contact }: Draining, now: Instant): Option.Option<Instant> {
  if (Option.isNone(contact) || Option.isNone(inServiceAt)) return Option.none;
  const { since, latest } = contact.value;
  const isConfirmed = now - latest <= maximumGapMilliseconds && inServiceAt.value - since >= confirmationMilliseconds;
  return isConfirmed ? Option.some(since) : Option.none;
}

/** @internal */
export const drainings = { report, reportInService, isQuestioned, recordReply, inServiceSince } as const;
