/**
 * The ledger of orders: which document each order number, and each send id, stands for. A claim is chosen in the register
 * before the configuration it belongs to can be chosen, so that no crash leaves a confirmed number without its digest
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

/** Claims of one slot, by rising number. No claim at or below `forgotten` can be judged unless it is still listed. */
const NumbersSchema = Type.Object({
  forgotten: Type.Integer(),
  claims: Type.Array(Type.Object({ number: Type.Integer(), digest: DigestSchema })),
});
type Numbers = Readonly<Static<typeof NumbersSchema>>;

/** Claims of one slot, the oldest first. `since`: the configuration's version when the id was claimed. */
const SendsSchema = Type.Object({
  claims: Type.Array(
    Type.Object({
      sendId: Type.String(),
      digest: DigestSchema,
      since: Type.Integer(),
      version: Type.Optional(Type.Integer()),
    }),
  ),
});
type Sends = Readonly<Static<typeof SendsSchema>>;
export type SendIdClaim = Sends['claims'][number];

/** Whose document a number stands for; `forgotten`: too old to be told. */
export type VersionClaim = 'own' | 'other' | 'forgotten';

export type ClaimTable = Readonly<{
  /** Claims a number for a document, unless it stands for one already. */
  claimVersion: (number: number, digest: string, milliseconds: number) => Promise<Either.Either<Fault, VersionClaim>>;
  /** Claims a send id, unless it is claimed already; gives the claim that stands. */
  claimSendId: (claim: SendIdClaim) => Promise<Either.Either<Fault, SendIdClaim>>;
  /** Keeps the version that a send was taken as. */
  recordVersion: (sendId: string, version: number) => Promise<void>;
}>;

/** Claims lie in so many cells, so that a change carries only a small part of them. */
const slots = 64;
/** So many claims are kept in each slot: 32,768 numbers in all, some 2 MB. */
export const maxClaimsPerSlot = 512;

const noNumbers: Numbers = { forgotten: -1, claims: [] };
const noSends: Sends = { claims: [] };

/** Numbers may rise in steps of any size: their digests spread evenly where the numbers themselves need not. */
function slotOf(name: string): number {
  return (createHash('sha256').update(name).digest()[0] ?? 0) % slots;
}

function numbersOf(entry: Option.Option<Entry>): Numbers {
  return Option.isSome(entry) && message.matches(NumbersSchema, entry.value.value) ? entry.value.value : noNumbers;
}

function sendsOf(entry: Option.Option<Entry>): Sends {
  return Option.isSome(entry) && message.matches(SendsSchema, entry.value.value) ? entry.value.value : noSends;
}

/** Adds a claim; the lowest numbers are forgotten first, for a late copy of an order is likeliest a recent one. */
function withNumber(numbers: Numbers, number: number, digest: string): Numbers {
  const claims = [...numbers.claims, { number, digest }].sort((left, right) => left.number - right.number);
  const dropped = claims.slice(0, Math.max(0, claims.length - maxClaimsPerSlot));
  return { forgotten: Math.max(numbers.forgotten, dropped.at(-1)?.number ?? -1), claims: claims.slice(dropped.length) };
}

function claimOf(numbers: Numbers, number: number, digest: string): VersionClaim {
  const found = numbers.claims.find((claim) => claim.number === number);
  if (found === undefined) return 'forgotten';
  return found.digest === digest ? 'own' : 'other';
}

function create(register: Register): ClaimTable {
  async function claimVersion(number: number, digest: string, milliseconds: number): Promise<Either.Either<Fault, VersionClaim>> {
    const changed = await register.change(
      `ledger/numbers/${slotOf(String(number))}`,
      function claim(current) {
        const numbers = numbersOf(current);
        const known = number <= numbers.forgotten || numbers.claims.some((one) => one.number === number);
        return known ? Option.none : Option.some(withNumber(numbers, number, digest));
      },
      milliseconds,
    );
    if (Either.isLeft(changed)) return changed;
    return Either.right(claimOf(numbersOf(changed.right.entry), number, digest));
  }

  async function claimSendId(claim: SendIdClaim): Promise<Either.Either<Fault, SendIdClaim>> {
    const changed = await register.change(`ledger/sends/${slotOf(claim.sendId)}`, function put(current) {
      const { claims } = sendsOf(current);
      if (claims.some((one) => one.sendId === claim.sendId)) return Option.none;
      return Option.some({ claims: [...claims, claim].slice(-maxClaimsPerSlot) });
    });
    if (Either.isLeft(changed)) return changed;
    return Either.right(sendsOf(changed.right.entry).claims.find((one) => one.sendId === claim.sendId) ?? claim);
  }

  async function settleSend(sendId: string, version: number): Promise<void> {
    await register.change(`ledger/sends/${slotOf(sendId)}`, function settle(current) {
      const { claims } = sendsOf(current);
      const open = claims.some((one) => one.sendId === sendId && one.version === undefined);
      if (!open) return Option.none;
      return Option.some({ claims: claims.map((one) => (one.sendId === sendId ? { ...one, version } : one)) });
    });
  }

  return { claimVersion, claimSendId, recordVersion: settleSend };
}

export const claimTable = { create } as const;
