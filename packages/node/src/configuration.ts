/** The configuration as stored in the register; its field names are part of the stored format (design 6.2, 6.5). */
import type { PlacementConfiguration } from '@stallstall/placement';

/** A version of a key that a majority of cores holds and this node has applied. */
export type AppliedValue<Value> = Readonly<{ version: number; value: Value }>;

export type Configuration = Readonly<{
  sheet: PlacementConfiguration;
  sendId: string;
  sentBy: string;
  /** Wall time in milliseconds since 1970. */
  sentAt: number;
  /** The ids of the latest sends, so that a repeated send is not stored twice; not pushed to nodes. */
  recent: ReadonlyArray<Readonly<{ version: number; sendId: string }>>;
  /**
   * For a configuration from a platform whose operators number versions themselves: the version its sender assigned, the text as sent
   * (design 6.5), and the digest of the document, which is also stored in the claim table (design 6.6).
   */
  external?: Readonly<{ version: number; source: string; digest?: string }>;
  /** Earlier versions; only on disks of format 1, where the next send moves them to the archive. */
  history?: ReadonlyArray<Readonly<{ version: number; sheet: PlacementConfiguration; sendId: string; sentBy: string; sentAt: number }>>;
}>;
