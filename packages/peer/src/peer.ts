/** Calls between nodes over links that stay open (design 3.2). */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Address } from '@stallstall/kernel';
import type { Change, MessageKind, Reply, Request } from '@stallstall/message';
import { dial } from './dialled-peer.js';
import { listen } from './served-link.js';

/** A node that this process calls, over one link that is dialled anew whenever it is lost. */
export type Peer = Readonly<{
  address: Address;
  /** None when there is no link, when no reply arrives in time, or when the call is rejected. */
  call: <Kind extends MessageKind>(kind: Kind, body: Request<Kind>, milliseconds: number) => Promise<Option.Option<Reply<Kind>>>;
  isConnected: () => boolean;
  /** The protocol version agreed on with whoever serves the link; 0 while there is none. */
  protocolVersion: () => number;
  close: () => void;
}>;

/** What a served link can do besides replying: push changes, and tell whether it is open. */
export type Caller = Readonly<{ pushChange: (change: Change) => void; isOpen: () => boolean }>;

/** One for each kind of call that a process answers; one that throws rejects the call. */
export type Handlers = {
  readonly [Kind in MessageKind]?: (body: Request<Kind>, caller: Caller) => Promise<Reply<Kind>> | Reply<Kind>;
};

export type PeerEvents = Readonly<{
  /** Called each time a link is open. */
  onConnected?: () => void;
  /** Called with each change that is pushed over the link. */
  onChange?: (change: Change) => void;
}>;

export const peer = { dial, listen } as const;
