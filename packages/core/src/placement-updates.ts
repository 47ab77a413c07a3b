/** Placement configurations that operators of this product send, each taken once however often it arrives (design 6.2, 6.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { PlacementConfiguration } from '@stallstall/placement';
import type { Register } from '@stallstall/register';
import type { ClaimTable, SendIdClaim } from './claim-table.js';
import { configurationOf, recentSends, versionOf } from './configuration-entry.js';
import type { ConfigurationVersions } from './configuration-versions.js';
import { documentDigest } from './document-digest.js';
import { operators, type Caller } from './operators.js';
import { updateFaults } from './update-faults.js';

export type PlacementUpdate = Readonly<{
  caller: Caller;
  placement: PlacementConfiguration;
  /** The placement as sent, before anything was filled in: what a send id stands for. */
  document: unknown;
  sendId: string;
  /** Whether the sender chose the send id, and may send again under it. */
  isNamed: boolean;
  sentBy: string;
  /** The version that it is to replace. */
  expected: Option.Option<number>;
}>;

/** The version that an update was taken as. */
export type UpdateResult = Readonly<{ version: number }>;

/** @internal */
export type PlacementUpdateParts = Readonly<{
  runtime: Runtime;
  register: Register;
  claims: ClaimTable;
  versions: ConfigurationVersions;
}>;

/** What an attempt to write an update came to. */
type Attempt = Readonly<{ entry: Option.Option<Entry>; rejection: Option.Option<Fault> }>;

/** The ids of so many sends are remembered in the configuration itself, so that one whose fate was not known may be repeated. */
const recentKept = 200;
/** A claim may be so many versions older than what the configuration tells of its send, for reads race with sends. */
const recentSlack = 10;

/** Whether the configuration still tells of every send that was claimed at that version or later. */
function stillTellsOf(version: number, claim: SendIdClaim): boolean {
  return version - claim.since < recentKept - recentSlack;
}

/** A send id that its sender chose stands for one placement, for good. Errors: `version-conflict`, and those of the register. */
async function claimSendId(
  { claims, versions }: PlacementUpdateParts,
  update: PlacementUpdate,
): Promise<Either.Either<Fault, SendIdClaim>> {
  const wanted = { sendId: update.sendId, digest: documentDigest.ofDocument(update.document) };
  if (!update.isNamed) return Either.right({ ...wanted, since: Number.MAX_SAFE_INTEGER });
  const read = await versions.current();
  if (Either.isLeft(read)) return read;
  const since = Option.isSome(read.right) ? read.right.value.version : 0;
  const claimed = await claims.claimSendId({ ...wanted, since });
  if (Either.isLeft(claimed)) return claimed;
  return claimed.right.digest === wanted.digest ? claimed : Either.left(updateFaults.sendIdTaken(update.sendId));
}

/** Why an update may not follow this entry; none where it may. */
function rejectionOf(update: PlacementUpdate, claim: SendIdClaim, current: Option.Option<Entry>): Option.Option<Fault> {
  const version = versionOf(current);
  const allowed = operators.mayChange(update.caller, configurationOf(current)?.sheet, update.placement);
  if (!stillTellsOf(version, claim)) return Option.some(updateFaults.sendForgotten(update.sendId));
  if (Either.isLeft(allowed)) return Option.some(allowed.left);
  const isExpected = Option.isNone(update.expected) || update.expected.value === version;
  return isExpected ? Option.none : Option.some(updateFaults.versionConflict(version));
}

function successor(update: PlacementUpdate, current: Option.Option<Entry>, sentAt: number): Configuration {
  const before = configurationOf(current);
  const sent = { version: versionOf(current) + 1, sendId: update.sendId };
  return {
    sheet: update.placement,
    sendId: update.sendId,
    sentBy: update.sentBy,
    sentAt,
    ...(before?.external === undefined ? {} : { external: before.external }),
    recent: [...recentSends(before), sent].slice(-recentKept),
  };
}

async function write(
  { runtime, register }: PlacementUpdateParts,
  update: PlacementUpdate,
  claim: SendIdClaim,
): Promise<Either.Either<Fault, Attempt>> {
  const sentAt = runtime.clock.wall();
  let rejection: Option.Option<Fault> = Option.none;
  const changed = await register.change('configuration', function next(current) {
    rejection = Option.none;
    const isTaken = recentSends(configurationOf(current)).some((old) => old.sendId === update.sendId);
    if (isTaken) return Option.none;
    rejection = rejectionOf(update, claim, current);
    return Option.isSome(rejection) ? Option.none : Option.some(successor(update, current, sentAt));
  });
  return Either.isLeft(changed) ? changed : Either.right({ entry: changed.right.entry, rejection });
}

/** Errors: `outcome-unknown`, `version-conflict` and `key-denied`. */
async function replace(parts: PlacementUpdateParts, update: PlacementUpdate): Promise<Either.Either<Fault, UpdateResult>> {
  const claimed = await claimSendId(parts, update);
  if (Either.isLeft(claimed)) {
    const isConflict = fault.kind(claimed.left) === 'version-conflict';
    return Either.left(isConflict ? claimed.left : updateFaults.outcomeUnknown(update.sendId));
  }
  if (claimed.right.version !== undefined) return Either.right({ version: claimed.right.version });
  const written = await write(parts, update, claimed.right);
  if (Either.isLeft(written)) return Either.left(updateFaults.outcomeUnknown(update.sendId));
  if (Option.isSome(written.right.rejection)) return Either.left(written.right.rejection.value);
  const { entry } = written.right;
  const taken = recentSends(configurationOf(entry)).find((old) => old.sendId === update.sendId);
  const version = taken?.version ?? versionOf(entry);
  if (update.isNamed) await parts.claims.recordVersion(update.sendId, version);
  return Either.right({ version });
}

/** @internal */
export const placementUpdates = { replace } as const;
