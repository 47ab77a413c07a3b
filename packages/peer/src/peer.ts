/** Calls between nodes over persistent links (design 3.2). */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Address } from '@stallstall/kernel';
import type { Change, MessageKind, Reply, Request } from '@stallstall/message';
import { dial } from './dialled-peer.js';
import { listen } from './served-link.js';

/** A node that this process calls over one link, which is dialled again whenever it fails. */
export type Peer = Readonly<{
  address: Address;
  /** None if there is no link, no reply arrives in time, or the call is rejected. */
  call: <Kind extends MessageKind>(kind: Kind, body: Request<Kind>, timeoutMilliseconds: number) => Promise<Option.Option<Reply<Kind>>>;
  isConnected: () => boolean;
  /** The protocol version agreed on for the link; 0 if there is no link. */
  protocolVersion: () => number;
  close: () => void;
}>;

/** The calling side of a served link, to which changes can be pushed. */
export type Caller = Readonly<{ pushChange: (change: Change) => void; isOpen: () => boolean }>;

/** Handlers by kind of call; a handler that throws rejects the call. */
export type Handlers = {
  readonly [Kind in MessageKind]?: (body: Request<Kind>, caller: Caller) => Promise<Reply<Kind>> | Reply<Kind>;
};

export type PeerEvents = Readonly<{
  /** Called each time a link is established. */
  onConnected?: () => void;
  /** Called with each change that is pushed over the link. */
  onChange?: (change: Change) => void;
}>;

export const peer = { dial, listen } as const;
