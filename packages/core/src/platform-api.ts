/** What a core offers to the routes of another platform: decisions stay here, words there (design 9.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { Registration } from '@stallstall/member-registry';
import { placements } from '@stallstall/placement';
import type { Administration } from './administration/administration.js';
import type { ExternalVersion, UpdateResult } from './configuration-updates.js';
import type { MemberRegistration } from './member-registration.js';
import type { QuorumContact } from './quorum-contact.js';

export type PlatformApi = Readonly<{
  ready: () => boolean;
  /**
   * Takes a complete placement under its sender's own version; of two the higher stands, and a lower one changes nothing. Errors:
   * `bad-sheet`, `version-conflict`, `outcome-unknown`, `no-majority`.
   */
  configure: (external: ExternalVersion, placement: unknown) => Promise<Either.Either<Fault, UpdateResult>>;
  /** The newest configuration as its sender wrote it. Errors: `not-found`, `no-majority`. */
  readSource: () => Promise<Either.Either<Fault, string>>;
  /** Resolves to false when no majority of cores would know of the heartbeat; that a member drains is confirmed by one. */
  heartbeat: (registration: Registration) => Promise<boolean>;
  /** Resolves to true once a majority of cores knows that the member has left. */
  leave: (member: string) => Promise<boolean>;
}>;

export type PlatformApiParts = Readonly<{
  /** This core answers as an occupant of its seat. */
  isOpen: () => boolean;
  isDraining: () => boolean;
  contact: QuorumContact;
  administration: Pick<Administration, 'replaceExternal' | 'readSource'>;
  registration: Option.Option<Pick<MemberRegistration, 'heartbeat' | 'leave'>>;
}>;

function notOpen(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'this core is of no fleet yet',
    remedy: 'turn to another core',
    retryAfterSeconds: 1,
  });
}

function create({ isOpen, isDraining, contact, administration, registration }: PlatformApiParts): PlatformApi {
  return {
    ready: () => isOpen() && !isDraining(),
    configure: async function configure(external, placement) {
      if (!isOpen()) return Either.left(notOpen());
      const checked = placements.validate(placement);
      if (Either.isLeft(checked)) return checked;
      return contact.runInContact(() => administration.replaceExternal(external, checked.right));
    },
    readSource: async () => (isOpen() ? contact.runInContact(administration.readSource) : Either.left(notOpen())),
    // A core that is of no fleet could tell nobody, nor one that no majority answers: whoever calls turns to another.
    heartbeat: async (given) => Option.isSome(registration) && isOpen() && registration.value.heartbeat(given),
    leave: async (member) => Option.isSome(registration) && isOpen() && registration.value.leave(member),
  };
}

export const platformApi = { create } as const;
