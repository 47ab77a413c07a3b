/**
 * Records which document each external version number and each send id was first used for. A claim is chosen in the register
 * before the configuration it belongs to can be chosen, so that no crash leaves an acknowledged version without its digest
 * (design 6.6).
 */
import { createHash } from 'node:crypto';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type, type Static } from '@sinclair/typebox';
import type { Fault } from '@stallstall/kernel';
import { message, type Entry } from '@stallstall/message';
import type { Register } from '@stallstall/register';

const DigestSchema = Type.String({ maxLength: 100 });

/** Version claims of one slot, in ascending order. For a version up to `forgotten` that is not listed, the document is no longer known. */
const VersionClaimsSchema = Type.Object({
  forgotten: Type.Integer(),
  claims: Type.Array(Type.Object({ number: Type.Integer(), digest: DigestSchema })),
});
type VersionClaims = Readonly<Static<typeof VersionClaimsSchema>>;

/** Send id claims of one slot, oldest first. `since`: the configuration's version when the id was claimed. */
const SendIdClaimsSchema = Type.Object({
  claims: Type.Array(
    Type.Object({
      sendId: Type.String(),
      digest: DigestSchema,
      since: Type.Integer(),
      version: Type.Optional(Type.Integer()),
    }),
  ),
});
type SendIdClaims = Readonly<Static<typeof SendIdClaimsSchema>>;
export type SendIdClaim = SendIdClaims['claims'][number];

/** Whether a version is claimed for the given document or a different one; `expired`: its claim has been dropped as too old. */
export type VersionClaim = 'same' | 'different' | 'expired';

export type ClaimTable = Readonly<{
  /** Claims a version number for a document, unless the number is claimed already. */
  claimVersion: (version: number, digest: string, timeoutMilliseconds: number) => Promise<Either.Either<Fault, VersionClaim>>;
  /** Claims a send id, unless it is claimed already; returns the claim in effect. */
  claimSendId: (claim: SendIdClaim) => Promise<Either.Either<Fault, SendIdClaim>>;
  /** Adds to a send id's claim the configuration version under which its document was stored. */
  recordVersion: (sendId: string, version: number) => Promise<void>;
}>;

/** Claims are spread over this many register entries, so that each change rewrites only a small part of them. */
const slotCount = 64;
/** Claims kept per slot: 32,768 numbers in all, about 2 MB. */
export const maxClaimsPerSlot = 512;

const noVersionClaims: VersionClaims = { forgotten: -1, claims: [] };
const noSendIdClaims: SendIdClaims = { claims: [] };

/** Slots are assigned by digest, because version numbers may rise in steps of any size and would not spread evenly themselves. */
function slotOf(name: string): number {
  return (createHash('sha256').update(name).digest()[0] ?? 0) % slotCount;
}

function versionClaimsOf(entry: Option.Option<Entry>): VersionClaims {
  return Option.isSome(entry) && message.matches(VersionClaimsSchema, entry.value.value) ? entry.value.value : noVersionClaims;
}

function sendIdClaimsOf(entry: Option.Option<Entry>): SendIdClaims {
  return Option.isSome(entry) && message.matches(SendIdClaimsSchema, entry.value.value) ? entry.value.value : noSendIdClaims;
}

/** Adds a claim and drops the lowest numbers first, because an update that arrives late is most likely a recent one. */
function withVersionClaim(stored: VersionClaims, version: number, digest: string): VersionClaims {
  const claims = [...stored.claims, { number: version, digest }].sort((left, right) => left.number - right.number);
  const expired = claims.slice(0, Math.max(0, claims.length - maxClaimsPerSlot));
  return { forgotten: Math.max(stored.forgotten, expired.at(-1)?.number ?? -1), claims: claims.slice(expired.length) };
}

function compareClaim(stored: VersionClaims, version: number, digest: string): VersionClaim {
  const found = stored.claims.find((claim) => claim.number === version);
  if (found === undefined) return 'expired';
  return found.digest === digest ? 'same' : 'different';
}

function create(register: Register): ClaimTable {
  async function claimVersion(version: number, digest: string, timeoutMilliseconds: number): Promise<Either.Either<Fault, VersionClaim>> {
    const changed = await register.change(
      `ledger/numbers/${slotOf(String(version))}`,
      function addClaim(current) {
        const stored = versionClaimsOf(current);
        const isKnown = version <= stored.forgotten || stored.claims.some((claim) => claim.number === version);
        return isKnown ? Option.none : Option.some(withVersionClaim(stored, version, digest));
      },
      timeoutMilliseconds,
    );
    if (Either.isLeft(changed)) return changed;
    return Either.right(compareClaim(versionClaimsOf(changed.right.entry), version, digest));
  }

  async function claimSendId(claim: SendIdClaim): Promise<Either.Either<Fault, SendIdClaim>> {
    const changed = await register.change(`ledger/sends/${slotOf(claim.sendId)}`, function addClaim(current) {
      const { claims } = sendIdClaimsOf(current);
      if (claims.some((existing) => existing.sendId === claim.sendId)) return Option.none;
      return Option.some({ claims: [...claims, claim].slice(-maxClaimsPerSlot) });
    });
    if (Either.isLeft(changed)) return changed;
    return Either.right(sendIdClaimsOf(changed.right.entry).claims.find((existing) => existing.sendId === claim.sendId) ?? claim);
  }

  async function recordVersion(sendId: string, version: number): Promise<void> {
    await register.change(`ledger/sends/${slotOf(sendId)}`, function setVersion(current) {
      const { claims } = sendIdClaimsOf(current);
      const isPending = claims.some((claim) => claim.sendId === sendId && claim.version === undefined);
      if (!isPending) return Option.none;
      return Option.some({ claims: claims.map((claim) => (claim.sendId === sendId ? { ...claim, version } : claim)) });
    });
  }

  return { claimVersion, claimSendId, recordVersion };
}

export const claimTable = { create } as const;
