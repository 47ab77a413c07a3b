export { peer, type Caller, type Handlers, type Peer, type PeerEvents } from './peer.js';
export * from './repeatable.js';
