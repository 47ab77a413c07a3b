/** Client side of durable reports: a report counts once a majority of core disks has stored it, and reads ask a majority (design 5.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, runtimeUtilities, type Fault } from '@stallstall/kernel';
import { message, type DurableWatermarks, type Reply, type Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { fixedCoreSet, type CoreSetSource } from './register.js';

/** Sends a report to one core's disk; none when the core does not reply in time. */
export type ReportReplica = (body: Request<'note'>, milliseconds: number) => Promise<Option.Option<Reply<'note'>>>;

export type DurableReports = Readonly<{
  /**
   * Stores a report. Resolves once a majority of disks has synced it, with watermarks that include every watermark a majority had stored
   * before. Errors: `no-majority`; some disks may have stored the report even then.
   */
  report: (body: Request<'note'>) => Promise<Either.Either<Fault, DurableWatermarks>>;
  /** The position up to which the commits of each service are acknowledged. Errors: `no-majority`. */
  watermarks: () => Promise<Either.Either<Fault, DurableWatermarks>>;
}>;

const callTimeoutMilliseconds = 800;
const emptyReport: Request<'note'> = { floors: {}, reports: [], through: {} };

function noMajority(stored: number, replicaCount: number): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `only ${stored} of ${replicaCount} core disks confirmed the report`,
    remedy: 'restore unavailable cores or repair their disks',
    retryAfterSeconds: 1,
  });
}

/** Sends a report to every replica; resolves once a majority has stored it, or when all have replied or timed out. */
function sendToMajority(
  replicas: readonly ReportReplica[],
  replicaCount: number,
  body: Request<'note'>,
  observe: CoreSetSource['observe'],
): Promise<Either.Either<Fault, DurableWatermarks>> {
  const needed = quorum.majority(replicaCount);
  return new Promise(function collect(resolve) {
    let outstanding = replicas.length;
    let stored = 0;
    let watermarks: DurableWatermarks = {};
    function resolveIfDecided(): void {
      if (replicaCount > 0 && stored >= needed) resolve(Either.right(watermarks));
      else if (outstanding === 0) resolve(Either.left(noMajority(stored, replicaCount)));
    }
    async function send(replica: ReportReplica): Promise<void> {
      const reply = await replica(body, callTimeoutMilliseconds);
      outstanding -= 1;
      if (Option.isSome(reply) && reply.value.newer !== undefined) observe(reply.value.newer);
      if (Option.isSome(reply) && reply.value.ready) {
        stored += 1;
        watermarks = message.maxWatermarks(watermarks, reply.value.floors);
      }
      resolveIfDecided();
    }
    if (outstanding === 0) resolveIfDecided();
    for (const replica of replicas) void send(replica);
  });
}

/**
 * @param replicas - the replicas to call, evaluated at each report
 * @param replicaCount - the total number of replicas, of which a majority is needed
 */
function create(
  replicas: () => readonly ReportReplica[],
  replicaCount: () => number,
  coreSets: CoreSetSource = fixedCoreSet,
): DurableReports {
  function report(body: Request<'note'>): Promise<Either.Either<Fault, DurableWatermarks>> {
    // The replicas, the majority and the number must all be of the same core set (design 4.8).
    const set = coreSets.number();
    return sendToMajority(replicas(), replicaCount(), set === 0 ? body : { ...body, set }, coreSets.observe);
  }
  return { report, watermarks: () => report(emptyReport) };
}

/** The name under which the other services of a process look up its durable reports. */
export const durableReportsService = runtimeUtilities.serviceName<DurableReports>('durable-reports');

export const durableReports = { create } as const;
