/** The reporting half: a report is on a majority of core disks before it counts; watermarks are read from a majority (design 5.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, runtimeUtilities, type Fault } from '@stallstall/kernel';
import { message, type DurableWatermarks, type Reply, type Request } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { fixedCoreSet, type CoreSetSource } from './register.js';

/** One disk that keeps reports; none when it does not reply in time. */
export type ReportReplica = (body: Request<'note'>, milliseconds: number) => Promise<Option.Option<Reply<'note'>>>;

export type DurableReports = Readonly<{
  /**
   * Right once a majority of disks has synced the report: all watermarks that any majority had before are among these. Errors: `no-majority`;
   * some disks may have it all the same.
   */
  report: (body: Request<'note'>) => Promise<Either.Either<Fault, DurableWatermarks>>;
  /** Up to where each service's commits are acknowledged. Errors: `no-majority`. */
  watermarks: () => Promise<Either.Either<Fault, DurableWatermarks>>;
}>;

const reportMilliseconds = 800;
const emptyReport: Request<'note'> = { floors: {}, reports: [], through: {} };

function noMajority(stored: number, size: number): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `only ${stored} of ${size} core disks have noted it`,
    remedy: 'bring cores back, or mend their disks',
    retryAfterSeconds: 1,
  });
}

/** Sends a report to every replica; settles once a majority has stored it, or all have replied or fallen silent. */
function sendToMajority(
  replicas: readonly ReportReplica[],
  size: number,
  body: Request<'note'>,
  observe: CoreSetSource['observe'],
): Promise<Either.Either<Fault, DurableWatermarks>> {
  const needed = quorum.majority(size);
  return new Promise(function collect(resolve) {
    let outstanding = replicas.length;
    let stored = 0;
    let watermarks: DurableWatermarks = {};
    function settleIfDecided(): void {
      if (size > 0 && stored >= needed) resolve(Either.right(watermarks));
      else if (outstanding === 0) resolve(Either.left(noMajority(stored, size)));
    }
    async function send(replica: ReportReplica): Promise<void> {
      const reply = await replica(body, reportMilliseconds);
      outstanding -= 1;
      if (Option.isSome(reply) && reply.value.newer !== undefined) observe(reply.value.newer);
      if (Option.isSome(reply) && reply.value.ready) {
        stored += 1;
        watermarks = message.maxWatermarks(watermarks, reply.value.floors);
      }
      settleIfDecided();
    }
    if (outstanding === 0) settleIfDecided();
    for (const replica of replicas) void send(replica);
  });
}

/**
 * @param replicas - the disks that are asked, looked up at each report
 * @param replicaCount - how many disks there are
 */
function create(
  replicas: () => readonly ReportReplica[],
  replicaCount: () => number,
  coreSets: CoreSetSource = fixedCoreSet,
): DurableReports {
  function report(body: Request<'note'>): Promise<Either.Either<Fault, DurableWatermarks>> {
    // One set from beginning to end: its disks, its majority, its number (design 4.8).
    const set = coreSets.number();
    return sendToMajority(replicas(), replicaCount(), set === 0 ? body : { ...body, set }, coreSets.observe);
  }
  return { report, watermarks: () => report(emptyReport) };
}

/** The name under which a process's other services find its reports. */
export const durableReportsService = runtimeUtilities.serviceName<DurableReports>('durable-reports');

export const durableReports = { create } as const;
