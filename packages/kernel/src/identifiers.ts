/** Branded types for ids, versions and times, so that the compiler keeps them apart (design 2.3). */
declare const brand: unique symbol;
type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

export type NodeId = Branded<string, 'NodeId'>;
export type MemberId = Branded<string, 'MemberId'>;
export type ServiceId = Branded<string, 'ServiceId'>;
export type SessionId = Branded<string, 'SessionId'>;
export type KeyId = Branded<string, 'KeyId'>;
export type Area = Branded<string, 'Area'>;
export type Address = Branded<string, 'Address'>;
export type FleetId = Branded<string, 'FleetId'>;
export type Epoch = Branded<number, 'Epoch'>;
export type FencingToken = Branded<number, 'FencingToken'>;
export type Version = Branded<number, 'Version'>;
export type Incarnation = Branded<number, 'Incarnation'>;
export type Position = Branded<number, 'Position'>;
/** Milliseconds on the monotonic clock of this process; never compared between processes. */
export type Instant = Branded<number, 'Instant'>;
/** Milliseconds since 1970, for logs, audit and usage windows only. */
export type WallTime = Branded<number, 'WallTime'>;
export type Milliseconds = Branded<number, 'Milliseconds'>;

function text<Kind extends string>(value: string): Branded<string, Kind> {
  return value as Branded<string, Kind>;
}

function count<Kind extends string>(value: number): Branded<number, Kind> {
  return value as Branded<number, Kind>;
}

function after(instant: Instant, milliseconds: number): Instant {
  return (instant + milliseconds) as Instant;
}

export const identifiers = {
  node: text<'NodeId'>,
  member: text<'MemberId'>,
  service: text<'ServiceId'>,
  session: text<'SessionId'>,
  key: text<'KeyId'>,
  area: text<'Area'>,
  address: text<'Address'>,
  fleet: text<'FleetId'>,
  epoch: count<'Epoch'>,
  fencingToken: count<'FencingToken'>,
  version: count<'Version'>,
  incarnation: count<'Incarnation'>,
  position: count<'Position'>,
  instant: count<'Instant'>,
  wallTime: count<'WallTime'>,
  milliseconds: count<'Milliseconds'>,
  after,
} as const;
