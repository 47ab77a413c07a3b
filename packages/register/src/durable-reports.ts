// The asking half of the notes: told to a majority of disks, read from a majority, the highest wins (design 5.5).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, kernel as kernels, type Fault } from '@stallstall/kernel';
import { message, type Request, type DurableWatermarks, type Reply } from '@stallstall/message';
import { quorum } from '@stallstall/quorum';
import { fixedCoreSet, type CoreSetSource } from './proposer.js';

export type ReportReplica = (body: Request<'note'>, milliseconds: number) => Promise<Option.Option<Reply<'note'>>>;

export type DurableReports = Readonly<{
  /** Right once a majority of disks has synced what was told: all floors that any majority had before are among these. */
  report: (body: Request<'note'>) => Promise<Either.Either<Fault, DurableWatermarks>>;
  watermarks: () => Promise<Either.Either<Fault, DurableWatermarks>>;
}>;

const noteMilliseconds = 800;
const nothing: Request<'note'> = { floors: {}, reports: [], through: {} };

function create(targets: () => readonly ReportReplica[], total: () => number, sets: CoreSetSource = fixedCoreSet): DurableReports {
  function note(body: Request<'note'>): Promise<Either.Either<Fault, DurableWatermarks>> {
    return new Promise(function collect(resolve) {
      // One set from beginning to end: its disks, its majority, its number (design 4.8).
      const asked = targets();
      const size = total();
      const needed = quorum.majority(size);
      const numbered: Request<'note'> = sets.number() === 0 ? body : { ...body, set: sets.number() };
      let left = asked.length;
      let kept = 0;
      let floors: DurableWatermarks = {};
      function settle(): void {
        if (size > 0 && kept >= needed) resolve(Either.right(floors));
        else if (left === 0) {
          resolve(
            Either.left(
              fault.create({
                kind: 'no-majority',
                message: `only ${kept} of ${size} core disks have noted it`,
                remedy: 'bring cores back, or mend their disks',
                retryAfterSeconds: 1,
              }),
            ),
          );
        }
      }
      async function ask(target: ReportReplica): Promise<void> {
        const reply = await target(numbered, noteMilliseconds);
        left -= 1;
        if (Option.isSome(reply) && reply.value.newer !== undefined) sets.observe(reply.value.newer);
        if (Option.isSome(reply) && reply.value.ready) {
          kept += 1;
          floors = message.maxWatermarks(floors, reply.value.floors);
        }
        settle();
      }
      if (left === 0) settle();
      for (const target of asked) void ask(target);
    });
  }

  return { report: note, watermarks: () => note(nothing) };
}

export const durableReportsService = kernels.serviceName<DurableReports>('notes');

export const durableReports = { create } as const;
