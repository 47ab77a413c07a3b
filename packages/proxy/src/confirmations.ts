/** Replies that wait until their position and their usage are durable on a majority of core disks; then they leave (design 7.5, 8.6). */
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

/** A reply that has come and is to be confirmed. */
type Pending = Readonly<{
  record: RequestRecord;
  target: Target;
  session: Option.Option<Session>;
  /** The report to the cores that makes it durable. */
  report: number;
  since: Instant;
  outcome: Outcome;
}>;

export type Confirmations = Readonly<{
  add: (record: RequestRecord, target: Target, session: Option.Option<Session>, result: MemberResult) => void;
  /** Passes on what is durable by now, and rejects what cannot be any more. */
  resolveReady: () => void;
  counts: (window: number) => readonly UsageWindow[];
}>;

/** The outcome of a reply that is not passed on; `fenced` is why, else time has run out. */
function unconfirmed(record: RequestRecord, fenced: Option.Option<Fault>): Fault {
  if (requestContext.isCommittingWrite(record))
    return requestFaults.outcomeUnknown(
      Option.isSome(fenced)
        ? 'this edge was fenced before the reply could be passed on'
        : 'the cores did not note in time how far it reaches',
    );
  return Option.isSome(fenced) ? fenced.value : requestFaults.givenUp('the cores did not note in time what was read', 'try again shortly');
}

function create(parts: RequestContext): Confirmations {
  const { runtime, placement: known, reports, table } = parts;
  const pending = new Map<number, Pending>();
  const usage = usageWindows.create();

  function add(record: RequestRecord, target: Target, session: Option.Option<Session>, { results, position }: MemberResult): void {
    const { choice, epoch } = target;
    const confirming: RequestRecord = { ...record, stage: 'confirming' };
    const outcome = Either.right({ results, position, member: choice.member, verdict: choice.isLocal ? 'run' : 'relay' });
    // Counted first, so that the report which confirms it holds it.
    pending.set(record.id, { record: confirming, target, session, since: runtime.clock.now(), report: reports.nextNumber(), outcome });
    table.update(confirming);
    reports.requestReport(record.request.service, choice.isLeader ? Option.some({ epoch, position }) : Option.none);
  }

  /** The fence is checked once more: what a fenced edge was told by an older primary is not passed on (design 7.3). */
  function resolveIfReady(one: Pending): void {
    const { record, target, session, report, since, outcome } = one;
    const now = runtime.clock.now();
    const fenced = fenceChecks.fault(known(), now, record.request.service, target.epoch, target.choice.isLeader);
    if (Option.isNone(fenced) && now < record.deadline && !reports.isDurable(report)) return;
    pending.delete(record.id);
    if (Option.isNone(fenced) && reports.isDurable(report)) {
      usage.count(record.request.service, reports.durableWindow());
      table.count('notingMilliseconds', now - since);
      table.resolve(record, outcome);
      return;
    }
    const { transaction } = record.request;
    if (transaction === 'begin' || transaction === 'within') requestContext.endTransaction(parts, session);
    table.reject(record, unconfirmed(record, fenced));
  }

  return {
    add,
    resolveReady: function resolveReady() {
      for (const one of [...pending.values()]) resolveIfReady(one);
    },
    counts: (window) =>
      usage.counts(
        window,
        [...pending.values()].map((one) => one.record.request.service),
      ),
  };
}

export const confirmations = { create } as const;
