/** The configuration as the register holds it. The field names are those of stored data (design 6.2, 6.5). */
import type { PlacementConfiguration } from '@stallstall/placement';

/** A version of a key that a majority of cores holds and this node acts by. */
export type AppliedValue<Value> = Readonly<{ version: number; value: Value }>;

export type Configuration = Readonly<{
  sheet: PlacementConfiguration;
  sendId: string;
  sentBy: string;
  /** Wall time in milliseconds since 1970. */
  sentAt: number;
  /** The ids of the latest sends, so that none is taken twice; not pushed. */
  recent: ReadonlyArray<Readonly<{ version: number; sendId: string }>>;
  /**
   * The version its sender gave it and the text as sent, where another platform's operators count versions of their own (design 6.5); the
   * digest of its document, which the claim table holds as well (design 6.6).
   */
  external?: Readonly<{ version: number; source: string; digest?: string }>;
  /** Versions before this one, on disks of format 1 alone; archived at the next send. */
  history?: ReadonlyArray<Readonly<{ version: number; sheet: PlacementConfiguration; sendId: string; sentBy: string; sentAt: number }>>;
}>;
