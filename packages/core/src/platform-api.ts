/** The operations that a core offers to the routes of an external platform, which only translate formats (design 9.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Runtime } from '@stallstall/kernel';
import type { Registration } from '@stallstall/member-registry';
import { placements } from '@stallstall/placement';
import type { Administration } from './administration/administration.js';
import type { ExternalVersion, UpdateResult } from './configuration-updates.js';
import type { MemberRegistration } from './member-registration.js';
import type { QuorumContact } from './quorum-contact.js';

export type PlatformApi = Readonly<{
  ready: () => boolean;
  /**
   * Stores a complete placement under a version number assigned by the client, if it is higher than the current one; otherwise changes
   * nothing. Errors: `bad-sheet`, `version-conflict`, `outcome-unknown`, `no-majority`.
   */
  configure: (external: ExternalVersion, placement: unknown) => Promise<Either.Either<Fault, UpdateResult>>;
  /** The text of the current configuration, exactly as its client submitted it. Errors: `not-found`, `no-majority`. */
  readSource: () => Promise<Either.Either<Fault, string>>;
  /**
   * Resolves to false if this core cannot pass the heartbeat on to a majority of cores. A heartbeat of a draining member must be confirmed
   * by a majority.
   */
  heartbeat: (registration: Registration) => Promise<boolean>;
  /** Resolves to true once a majority of cores has recorded that the member has left. */
  leave: (member: string) => Promise<boolean>;
}>;

export type PlatformApiParts = Readonly<{
  runtime: Pick<Runtime, 'clock' | 'log'>;
  /** Whether this core belongs to a fleet and answers ballots. */
  isOpen: () => boolean;
  isDraining: () => boolean;
  contact: QuorumContact;
  administration: Pick<Administration, 'replaceExternal' | 'readSource'>;
  registration: Option.Option<Pick<MemberRegistration, 'heartbeat' | 'leave'>>;
}>;

function notInFleet(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'this core does not belong to a fleet yet',
    remedy: 'use another core',
    retryAfterSeconds: 1,
  });
}

/** Reads the configuration; logs each read, so that a rejection can be told from a slow or lost reply. */
async function readSource({ runtime, isOpen, contact, administration }: PlatformApiParts): Promise<Either.Either<Fault, string>> {
  const startedAt = runtime.clock.now();
  const read = isOpen() ? await contact.runInContact(administration.readSource) : Either.left(notInFleet());
  runtime.log('configuration.read', {
    milliseconds: Math.round(runtime.clock.now() - startedAt),
    outcome: Either.isLeft(read) ? read.left.message : `${read.right.length} characters`,
  });
  return read;
}

function create(parts: PlatformApiParts): PlatformApi {
  const { isOpen, isDraining, contact, administration, registration } = parts;
  return {
    ready: () => isOpen() && !isDraining(),
    configure: async function configure(external, placement) {
      if (!isOpen()) return Either.left(notInFleet());
      const checked = placements.validate(placement);
      if (Either.isLeft(checked)) return checked;
      return contact.runInContact(() => administration.replaceExternal(external, checked.right));
    },
    readSource: () => readSource(parts),
    // A core without a fleet or without contact to a majority could not pass this on: the caller has to try another core.
    heartbeat: async (report) => Option.isSome(registration) && isOpen() && registration.value.heartbeat(report),
    leave: async (member) => Option.isSome(registration) && isOpen() && registration.value.leave(member),
  };
}

export const platformApi = { create } as const;
