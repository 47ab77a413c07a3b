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
  /** False when this core is of no fleet yet and could tell nobody. */
  beat: (registration: Registration) => boolean;
  leave: (member: string) => boolean;
}>;
