/** Placement configurations sent over the administration API, each applied once however often it arrives (design 6.2, 6.6). */
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
  /** The placement as sent, before defaults were filled in: the document that the send id identifies. */
  document: unknown;
  sendId: string;
  /** Whether the client chose the send id, and so may repeat the update under it. */
  hasClientSendId: boolean;
  sentBy: string;
  /** The version that the update must replace; none if any version may be replaced. */
  expectedVersion: Option.Option<number>;
}>;

/** The version under which an update was stored; for external updates, the current external version after the update. */
export type UpdateResult = Readonly<{ version: number }>;

/** @internal */
export type PlacementUpdateParts = Readonly<{
  runtime: Runtime;
  register: Register;
  claims: ClaimTable;
  versions: ConfigurationVersions;
}>;

/** The outcome of an attempt to write an update. */
type WriteAttempt = Readonly<{ entry: Option.Option<Entry>; rejection: Option.Option<Fault> }>;

/** The configuration itself lists this many recent send ids, so that an update with an unknown outcome can be repeated safely. */
const maxRecentSends = 200;
/** Safety margin for that list: a claim may carry an older version, because reading the version races with other updates. */
const recentSendSlack = 10;

/** Whether the configuration at a version still lists the send id of this claim if its update was applied. */
function isCoveredByRecentSends(version: number, claim: SendIdClaim): boolean {
  return version - claim.since < maxRecentSends - recentSendSlack;
}

/** Claims a send id that the client chose for one document. Errors: `version-conflict`, and those of the register. */
async function claimSendId(
  { claims, versions }: PlacementUpdateParts,
  update: PlacementUpdate,
): Promise<Either.Either<Fault, SendIdClaim>> {
  const requested = { sendId: update.sendId, digest: documentDigest.ofDocument(update.document) };
  if (!update.hasClientSendId) return Either.right({ ...requested, since: Number.MAX_SAFE_INTEGER });
  const read = await versions.current();
  if (Either.isLeft(read)) return read;
  const since = Option.isSome(read.right) ? read.right.value.version : 0;
  const claimed = await claims.claimSendId({ ...requested, since });
  if (Either.isLeft(claimed)) return claimed;
  return claimed.right.digest === requested.digest ? claimed : Either.left(updateFaults.sendIdInUse(update.sendId));
}

/** Why an update may not replace the current entry; none if it may. */
function rejectionOf(update: PlacementUpdate, claim: SendIdClaim, current: Option.Option<Entry>): Option.Option<Fault> {
  const version = versionOf(current);
  const allowed = operators.checkChange(update.caller, configurationOf(current)?.sheet, update.placement);
  if (!isCoveredByRecentSends(version, claim)) return Option.some(updateFaults.sendIdExpired(update.sendId));
  if (Either.isLeft(allowed)) return Option.some(allowed.left);
  const isExpected = Option.isNone(update.expectedVersion) || update.expectedVersion.value === version;
  return isExpected ? Option.none : Option.some(updateFaults.versionConflict(version));
}

function successor(update: PlacementUpdate, current: Option.Option<Entry>, sentAt: number): Configuration {
  const previous = configurationOf(current);
  const send = { version: versionOf(current) + 1, sendId: update.sendId };
  return {
    sheet: update.placement,
    sendId: update.sendId,
    sentBy: update.sentBy,
    sentAt,
    ...(previous?.external === undefined ? {} : { external: previous.external }),
    recent: [...recentSends(previous), send].slice(-maxRecentSends),
  };
}

async function write(
  { runtime, register }: PlacementUpdateParts,
  update: PlacementUpdate,
  claim: SendIdClaim,
): Promise<Either.Either<Fault, WriteAttempt>> {
  const sentAt = runtime.clock.wall();
  let rejection: Option.Option<Fault> = Option.none;
  const changed = await register.change('configuration', function next(current) {
    rejection = Option.none;
    const isApplied = recentSends(configurationOf(current)).some((send) => send.sendId === update.sendId);
    if (isApplied) return Option.none;
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
  const recorded = recentSends(configurationOf(entry)).find((send) => send.sendId === update.sendId);
  const version = recorded?.version ?? versionOf(entry);
  if (update.hasClientSendId) await parts.claims.recordVersion(update.sendId, version);
  return Either.right({ version });
}

/** @internal */
export const placementUpdates = { replace } as const;
