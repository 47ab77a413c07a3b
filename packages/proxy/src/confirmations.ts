/** Holds each reply back until its log position and its usage are durable on the disks of a majority of cores (design 7.5, 8.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Instant } from '@stallstall/kernel';
import { fenceChecks } from './fence-check.js';
import type { MemberResult } from './member-reply.js';
import { requestFaults } from './request-faults.js';
import { requestContext, type RequestContext } from './request-context.js';
import type { Session } from './sessions.js';
import type { Outcome, RequestRecord, Target } from './statement-request.js';
import { usageWindows, type UsageWindow } from './usage-windows.js';

/** A member's reply that is not durable yet. */
type Pending = Readonly<{
  record: RequestRecord;
  target: Target;
  session: Option.Option<Session>;
  /** Number of the report that makes it durable. */
  report: number;
  addedAt: Instant;
  outcome: Outcome;
}>;

export type Confirmations = Readonly<{
  add: (record: RequestRecord, target: Target, session: Option.Option<Session>, result: MemberResult) => void;
  /** Answers the requests whose replies are durable, and rejects those that were fenced or have timed out. */
  resolveReady: () => void;
  counts: (window: number) => readonly UsageWindow[];
}>;

/** The fault for a reply that could not be confirmed: because of `fenced`, or else because the deadline passed. */
function unconfirmedFault(record: RequestRecord, fenced: Option.Option<Fault>): Fault {
  if (requestContext.isCommittingWrite(record))
    return requestFaults.outcomeUnknown(
      Option.isSome(fenced)
        ? 'this edge was fenced before the reply was confirmed'
        : 'a majority of cores did not store the commit position in time',
    );
  return Option.isSome(fenced)
    ? fenced.value
    : requestFaults.givenUp('a majority of cores did not store the position of the read in time', 'retry shortly');
}

/** @param hasEnded - whether this process is about to stop, so that no reply is awaited any more */
function create(context: RequestContext, hasEnded: () => boolean): Confirmations {
  const { runtime, placement, reports, table } = context;
  const pending = new Map<number, Pending>();
  const usage = usageWindows.create();

  function add(record: RequestRecord, target: Target, session: Option.Option<Session>, { results, position }: MemberResult): void {
    const { choice, epoch } = target;
    const confirming: RequestRecord = { ...record, stage: 'confirming' };
    const outcome = Either.right({ results, position, member: choice.member, verdict: choice.isLocal ? 'run' : 'relay' });
    // Added before the report is requested, so that the report includes it.
    pending.set(record.id, { record: confirming, target, session, addedAt: runtime.clock.now(), report: reports.nextNumber(), outcome });
    table.update(confirming);
    reports.requestReport(record.request.service, choice.isLeader ? Option.some({ epoch, position }) : Option.none);
  }

  /** Checks the fence again: a fenced edge must not return the reply of a former primary (design 7.3). */
  function resolveIfReady(reply: Pending): void {
    const { record, target, session, report, addedAt, outcome } = reply;
    const now = runtime.clock.now();
    const fenced = fenceChecks.fault(placement(), now, record.request.service, target.epoch, target.choice.isLeader);
    if (Option.isNone(fenced) && now < record.deadline && !hasEnded() && !reports.isDurable(report)) return;
    pending.delete(record.id);
    if (Option.isNone(fenced) && reports.isDurable(report)) {
      usage.count(record.request.service, reports.durableWindow());
      table.count('notingMilliseconds', now - addedAt);
      table.resolve(record, outcome);
      return;
    }
    const { transaction } = record.request;
    if (transaction === 'begin' || transaction === 'within') requestContext.endTransaction(context, session);
    table.reject(record, unconfirmedFault(record, fenced));
  }

  return {
    add,
    resolveReady: function resolveReady() {
      for (const reply of [...pending.values()]) resolveIfReady(reply);
    },
    counts: (window) =>
      usage.counts(
        window,
        [...pending.values()].map((reply) => reply.record.request.service),
      ),
  };
}

export const confirmations = { create } as const;
