// What a core offers to another platform's pages (design 9.6).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { Registration } from '@stallstall/member-registry';
import { placements } from '@stallstall/placement';
import type { Administration } from './administration.js';
import type { QuorumContact } from './quorum-contact.js';
import type { ExternalVersion } from './configuration-updates.js';
import type { MemberRegistration } from './member-registration.js';

/** What another platform's pages are served from: decisions stay here, words there (design 9.6). */
export type PlatformApi = Readonly<{
  ready: () => boolean;
  /** Takes a whole sheet under its sender's own version; of two the higher stands, and a lower one changes nothing. */
  configure: (external: ExternalVersion, sheet: unknown) => Promise<Either.Either<Fault, Readonly<{ version: number }>>>;
  /** The newest configuration as its sender wrote it. */
  source: () => Promise<Either.Either<Fault, string>>;
  /** False when no majority of cores would know of it; that a member drains is confirmed by one. */
  beat: (registration: Registration) => Promise<boolean>;
  /** The same: right once a majority of cores knows that the member has left. */
  leave: (member: string) => Promise<boolean>;
}>;

export type PlatformApiParts = Readonly<{
  /** This core is open: it answers as an occupant of its seat. */
  isOpen: () => boolean;
  isEnding: () => boolean;
  contact: QuorumContact;
  administration: Pick<Administration, 'replaceExternal' | 'source'>;
  registered: Option.Option<Pick<MemberRegistration, 'heartbeat' | 'leave'>>;
}>;

function notOpen(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'this core is of no fleet yet',
    remedy: 'turn to another core',
    retryAfterSeconds: 1,
  });
}

function create({ isOpen, isEnding, contact, administration, registered }: PlatformApiParts): PlatformApi {
  return {
    ready: () => isOpen() && !isEnding(),
    configure: async function configure(external, sheet) {
      if (!isOpen()) return Either.left(notOpen());
      const checked = placements.check(sheet);
      return Either.isLeft(checked) ? checked : contact.whileInContact(() => administration.replaceExternal(external, checked.right));
    },
    source: async () => (isOpen() ? contact.whileInContact(administration.source) : Either.left(notOpen())),
    // One that is of no fleet could tell nobody, nor one that no majority answers: who calls turns to another.
    beat: async (registration) => Option.isSome(registered) && isOpen() && registered.value.heartbeat(registration),
    leave: async (member) => Option.isSome(registered) && isOpen() && registered.value.leave(member),
  };
}

export const platformApi = { create } as const;
