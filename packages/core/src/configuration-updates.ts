// Orders: configurations that operators send, taken exactly once however often they arrive (design 6.2, 6.5, 6.6).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Kernel } from '@stallstall/kernel';
import type { Entry } from '@stallstall/message';
import type { Configuration } from '@stallstall/node';
import type { ChangeOutcome, Register } from '@stallstall/register';
import type { PlacementConfiguration } from '@stallstall/placement';
import { documentDigest } from './document-digest.js';
import { claimTable as ledgers, type SendClaim } from './claim-table.js';
import { operators, type Caller } from './operators.js';
import type { ConfigurationVersions } from './configuration-versions.js';

/** A version that the sender counts itself, with the text as sent: it is read back unchanged (design 6.5). */
export type ExternalVersion = Readonly<{ version: number; source: string }>;

/** A sheet that an operator of this product sends. */
export type PlacementUpdate = Readonly<{
  caller: Caller;
  sheet: PlacementConfiguration;
  /** The sheet as sent, before anything was filled in: what a send id stands for. */
  document: unknown;
  sendId: string;
  /** The sender chose the send id, and may send again under it. */
  named: boolean;
  sentBy: string;
  /** The version that it is to replace. */
  expected: Option.Option<number>;
}>;

export type ConfigurationUpdates = Readonly<{
  replace: (order: PlacementUpdate) => Promise<Either.Either<Fault, Readonly<{ version: number }>>>;
  /** Of two external versions the higher stands; a lower one, or the same again, changes nothing and is right all the same. */
  replaceExternal: (
    external: ExternalVersion,
    sheet: PlacementConfiguration,
  ) => Promise<Either.Either<Fault, Readonly<{ version: number }>>>;
}>;

export type ConfigurationUpdateParts = Readonly<{
  register: Register;
  versions: ConfigurationVersions;
  /** The configuration on this core's own disk, chosen or not. */
  accepted: () => Option.Option<Entry>;
}>;

/** The ids of so many sends are remembered in the configuration itself, so that one whose fate was not known may be repeated. */
const recentKept = 200;
/** A claim may be so many versions older than what the configuration tells of its send, for reads race with sends. */
const recentSlack = 10;
/** An operator that hears nothing for a second turns to another core. */
const configureMilliseconds = 850;

/** A disk of format 1 has the ids of earlier sends in its history. */
function recentOf(configuration: Configuration): Configuration['recent'] {
  return (configuration as Partial<Configuration>).recent ?? configuration.history ?? [];
}

function configurationOf(entry: Option.Option<Entry>): Configuration | undefined {
  return Option.isSome(entry) ? (entry.value.value as Configuration) : undefined;
}

function versionOf(entry: Option.Option<Entry>): number {
  return Option.isSome(entry) ? entry.value.version : 0;
}

function outcomeUnknown(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: 'it is not known whether the sheet was taken: no majority of disks answered in time',
    remedy: 'read the sheet back, or send it again with the same sendId',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function tooOldToTell(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `it is not known any more whether the sheet of send ${sendId} was taken`,
    remedy: 'read the versions, and send it under a new sendId if it is not among them',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function otherSheet(sendId: string): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `the sendId ${sendId} stands for another sheet already`,
    remedy: 'send this sheet under a sendId of its own',
    details: { sendId },
  });
}

function otherText(version: number): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `version ${version} stands for another configuration already`,
    remedy: 'read the newest configuration back, and send this one under a higher version',
    details: { version },
  });
}

function forgottenNumber(version: number): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `version ${version} is too old: which configuration it stood for is not known any more`,
    remedy: 'read the newest configuration back, and send this one under a higher version',
    details: { version },
  });
}

/** Whether the configuration still tells of every send that was claimed at that version or later. */
function tells(version: number, claim: SendClaim): boolean {
  return version - claim.since < recentKept - recentSlack;
}

function create(kernel: Kernel, parts: ConfigurationUpdateParts): ConfigurationUpdates {
  const { register, versions } = parts;
  const ledger = ledgers.create(register);

  // -- Sheets under a send id (design 6.2).

  /** A send id that its sender chose stands for one sheet, for good. */
  async function claimSend(order: PlacementUpdate): Promise<Either.Either<Fault, SendClaim>> {
    const wanted = { sendId: order.sendId, digest: documentDigest.ofDocument(order.document) };
    if (!order.named) return Either.right({ ...wanted, since: Number.MAX_SAFE_INTEGER });
    const read = await versions.current();
    if (Either.isLeft(read)) return read;
    const since = Option.isSome(read.right) ? read.right.value.version : 0;
    const claimed = await ledger.claimSend({ ...wanted, since });
    if (Either.isLeft(claimed)) return claimed;
    return claimed.right.digest === wanted.digest ? claimed : Either.left(otherSheet(order.sendId));
  }

  type Sent = Readonly<{ changed: ChangeOutcome; refused: Option.Option<Fault> }>;

  async function propose(order: PlacementUpdate, claim: SendClaim): Promise<Either.Either<Fault, Sent>> {
    const { caller, sheet, sendId, sentBy, expected } = order;
    const sentAt = kernel.clock.wall();
    let refused: Option.Option<Fault> = Option.none;
    const changed = await register.change('configuration', function next(current) {
      refused = Option.none;
      const version = versionOf(current);
      const before = configurationOf(current);
      if (before !== undefined && recentOf(before).some((old) => old.sendId === sendId)) return Option.none;
      const allowed = operators.mayChange(caller, before?.sheet, sheet);
      if (!tells(version, claim)) refused = Option.some(tooOldToTell(sendId));
      else if (Either.isLeft(allowed)) refused = Option.some(allowed.left);
      else if (Option.isSome(expected) && expected.value !== version) refused = Option.some(versionConflict(version));
      if (Option.isSome(refused)) return Option.none;
      return Option.some({
        sheet,
        sendId,
        sentBy,
        sentAt,
        ...(before?.external === undefined ? {} : { external: before.external }),
        recent: [...(before === undefined ? [] : recentOf(before)), { version: version + 1, sendId }].slice(-recentKept),
      });
    });
    return Either.map((done: ChangeOutcome) => ({ changed: done, refused }))(changed);
  }

  function versionConflict(version: number): Fault {
    return fault.create({
      kind: 'version-conflict',
      message: `the current version is ${version}`,
      remedy: 'read it, merge, and send again',
      details: { version },
    });
  }

  async function send(order: PlacementUpdate): Promise<Either.Either<Fault, Readonly<{ version: number }>>> {
    const claimed = await claimSend(order);
    if (Either.isLeft(claimed)) {
      const refused = fault.kind(claimed.left) === 'version-conflict';
      return Either.left(refused ? claimed.left : outcomeUnknown(order.sendId));
    }
    if (claimed.right.version !== undefined) return Either.right({ version: claimed.right.version });
    const sent = await propose(order, claimed.right);
    if (Either.isLeft(sent)) return Either.left(outcomeUnknown(order.sendId));
    if (Option.isSome(sent.right.refused)) return Either.left(sent.right.refused.value);
    const entry = (sent.right.changed.entry as Option.Some<Entry>).value;
    const version = recentOf(entry.value as Configuration).find((old) => old.sendId === order.sendId)?.version ?? entry.version;
    if (order.named) await ledger.recordVersion(order.sendId, version);
    return Either.right({ version });
  }

  // -- Configurations under their senders' own versions (design 6.5, 6.6).

  /** What an earlier release left standing without a claim is claimed before anything else is judged. */
  async function claimStanding(milliseconds: number): Promise<Either.Either<Fault, unknown>> {
    const local = configurationOf(parts.accepted())?.external;
    if (local?.digest !== undefined) return Either.right(undefined);
    const read = await versions.current();
    if (Either.isLeft(read) || Option.isNone(read.right)) return read;
    const { external } = read.right.value.value;
    if (external === undefined || external.digest !== undefined) return Either.right(undefined);
    return ledger.claimNumber(external.version, documentDigest.ofText(external.source), milliseconds);
  }

  async function claimNumber(external: ExternalVersion, textDigest: string, horizon: number): Promise<Either.Either<Fault, unknown>> {
    const standing = await claimStanding(horizon - kernel.clock.now());
    if (Either.isLeft(standing)) return standing;
    const claimed = await ledger.claimNumber(external.version, textDigest, horizon - kernel.clock.now());
    if (Either.isLeft(claimed)) return claimed;
    if (claimed.right === 'other') return Either.left(otherText(external.version));
    if (claimed.right === 'forgotten') return Either.left(forgottenNumber(external.version));
    return Either.right(undefined);
  }

  async function configure(
    external: ExternalVersion,
    sheet: PlacementConfiguration,
  ): Promise<Either.Either<Fault, Readonly<{ version: number }>>> {
    const horizon = kernel.clock.now() + configureMilliseconds;
    const textDigest = documentDigest.ofText(external.source);
    const claimed = await claimNumber(external, textDigest, horizon);
    if (Either.isLeft(claimed)) {
      kernel.log('configuration.not-taken', { external: external.version, reason: fault.kind(claimed.left) });
      return claimed;
    }
    const changed = await register.change(
      'configuration',
      function next(current) {
        const before = configurationOf(current);
        if (before?.external !== undefined && before.external.version >= external.version) return Option.none;
        return Option.some({
          sheet,
          sendId: `external ${external.version}`,
          sentBy: 'external',
          sentAt: kernel.clock.wall(),
          recent: before === undefined ? [] : recentOf(before),
          external: { ...external, digest: textDigest },
        });
      },
      horizon - kernel.clock.now(),
    );
    if (Either.isLeft(changed)) return changed;
    const standing = configurationOf(changed.right.entry)?.external?.version ?? 0;
    kernel.log('configuration.taken', { external: external.version, standing, wrote: changed.right.wrote });
    return Either.right({ version: standing });
  }

  return { replace: send, replaceExternal: configure };
}

export const configurationUpdates = { create } as const;
