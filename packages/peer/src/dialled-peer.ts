/** The calling side of a link: dials, redials after a failure, and matches replies to calls (design 3.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Runtime, Link } from '@stallstall/kernel';
import { ChangeSchema, FrameSchema, message, messages, type MessageKind, type Reply, type Request } from '@stallstall/message';
import { handshake, type HandshakeOutcome } from './handshake.js';
import type { Peer, PeerEvents } from './peer.js';
import { pendingCalls, type PendingCalls } from './pending-calls.js';

type PeerState = {
  readonly runtime: Runtime;
  readonly address: Address;
  readonly events: PeerEvents;
  readonly calls: PendingCalls;
  link: Option.Option<Link>;
  version: number;
  /** The reason logged last, so that the same reason is logged only once in a row. */
  lastIncompatibility: string;
  isClosed: boolean;
  consecutiveTimeouts: number;
};

/** The maximum delay before dialling again after a link failed; jittered so that many processes do not dial at the same time. */
const maxRedialMilliseconds = 150;
/** The first attempts follow sooner, since the other process may just be starting. */
const firstRedialMilliseconds = 25;
const maxRedialDoublings = 8;
/** After this many consecutive timeouts the connection is considered half-open: it is reset and dialled again. */
const maxConsecutiveTimeouts = 5;

/** False where a frame breaks the protocol. */
function handleReply({ calls }: PeerState, number: number, body: unknown): boolean {
  const kind = calls.kindOf(number);
  // The reply to a call that timed out is dropped. A second reply, or one to a call that was never made, is a protocol violation.
  if (kind === undefined) return calls.acceptLateReply(number);
  if (!message.matches(messages[kind].reply, body)) return false;
  calls.complete(number, Option.some(body));
  return true;
}

function handleRejection({ runtime, address, calls }: PeerState, number: number, reason: string): boolean {
  if (calls.kindOf(number) === undefined) return calls.acceptLateReply(number);
  runtime.log('peer.rejected', { address, reason });
  calls.complete(number, Option.none);
  return true;
}

/** False where a frame breaks the protocol. */
function handleFrame(state: PeerState, frame: unknown): boolean {
  if (!message.matches(FrameSchema, frame)) return false;
  state.consecutiveTimeouts = 0;
  if ('reply' in frame) return handleReply(state, frame.reply, frame.body);
  if ('deny' in frame) return handleRejection(state, frame.deny, frame.reason);
  if ('change' in frame && message.matches(ChangeSchema, frame.change)) {
    state.events.onChange?.(frame.change);
    return true;
  }
  return false;
}

async function receiveFrames(state: PeerState, link: Link): Promise<void> {
  for (;;) {
    const frame = await link.receive();
    if (Option.isNone(frame)) return;
    if (handleFrame(state, frame.value)) continue;
    state.runtime.log('peer.malformed', { address: state.address });
    return;
  }
}

function logIncompatibility(state: PeerState, outcome: HandshakeOutcome): void {
  const reason = outcome.kind === 'incompatible' ? outcome.reason : '';
  if (reason !== '' && reason !== state.lastIncompatibility) {
    state.runtime.log('peer.incompatible', { address: state.address, reason });
  }
  state.lastIncompatibility = reason;
}

/** Performs the handshake and uses the link until it ends; resolves to whether the handshake succeeded. */
async function useLink(state: PeerState, link: Link): Promise<boolean> {
  const outcome = await handshake.perform(state.runtime, link);
  if (outcome.kind !== 'agreed' || state.isClosed) {
    logIncompatibility(state, outcome);
    link.close();
    return false;
  }
  state.version = outcome.version;
  state.link = Option.some(link);
  state.calls.forgetTimedOut();
  state.consecutiveTimeouts = 0;
  state.events.onConnected?.();
  await receiveFrames(state, link);
  state.link = Option.none;
  state.version = 0;
  link.close();
  state.calls.failAll();
  return true;
}

function redialDelay({ runtime }: PeerState, failures: number): number {
  const delay = Math.min(maxRedialMilliseconds, firstRedialMilliseconds * 2 ** Math.min(failures, maxRedialDoublings));
  return delay * (0.5 + runtime.randomness.fraction());
}

async function keepLink(state: PeerState): Promise<void> {
  const { runtime, address } = state;
  let failures = 0;
  while (!state.isClosed) {
    const opened = await runtime.network.open(address);
    if (state.isClosed) {
      if (Either.isRight(opened)) opened.right.close();
      return;
    }
    const wasUsable = Either.isRight(opened) && (await useLink(state, opened.right));
    failures = wasUsable ? 0 : failures + 1;
    if (!state.isClosed) await runtime.clock.sleep(redialDelay(state, failures));
  }
}

function call<Kind extends MessageKind>(
  state: PeerState,
  kind: Kind,
  body: Request<Kind>,
  timeoutMilliseconds: number,
): Promise<Option.Option<Reply<Kind>>> {
  if (Option.isNone(state.link)) return Promise.resolve(Option.none);
  const link = state.link.value;
  return new Promise(function sendCall(resolve) {
    const complete = resolve as (reply: Option.Option<unknown>) => void;
    const number = state.calls.add({ kind, complete, onTimeout }, timeoutMilliseconds);
    function onTimeout(): void {
      state.consecutiveTimeouts += 1;
      // Reset rather than closed, so that calls not yet delivered are not executed after their callers have given up.
      if (state.consecutiveTimeouts >= maxConsecutiveTimeouts) link.reset();
    }
    link.send({ call: number, kind, body });
  });
}

function close(state: PeerState): void {
  state.isClosed = true;
  if (Option.isSome(state.link)) {
    if (state.calls.count() > 0) state.link.value.reset();
    else state.link.value.close();
  }
  state.calls.failAll();
}

/** Dials an address, again after each failure, until the peer is closed. */
export function dial(runtime: Runtime, address: Address, events: PeerEvents = {}): Peer {
  const state: PeerState = {
    runtime,
    address,
    events,
    calls: pendingCalls.create(runtime.clock),
    link: Option.none,
    version: 0,
    lastIncompatibility: '',
    isClosed: false,
    consecutiveTimeouts: 0,
  };
  void keepLink(state);
  return {
    address,
    call: (kind, body, milliseconds) => call(state, kind, body, milliseconds),
    isConnected: () => Option.isSome(state.link),
    protocolVersion: () => state.version,
    close: () => close(state),
  };
}
