// What a core offers to another platform's pages (design 9.6).
import type * as Either from 'fp-ts/lib/Either.js';
import type { Fault } from '@stallstall/kernel';
import type { Registration } from '@stallstall/roster';
import type { ExternalVersion } from './orders.js';

/** What another platform's pages are served from: decisions stay here, words there (design 9.6). */
export type Door = Readonly<{
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
