/** The serving side of a link: answers calls and pushes changes (design 3.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Runtime, Link, Listener } from '@stallstall/kernel';
import { FrameSchema, message, messages, type Frame } from '@stallstall/message';
import { handshake } from './handshake.js';
import type { Caller, Handlers } from './peer.js';

type CallFrame = Extract<Frame, { call: number }>;

async function answerCall(link: Link, caller: Caller, handlers: Handlers, { call, kind, body }: CallFrame): Promise<void> {
  const handler = message.isKind(kind) ? handlers[kind] : undefined;
  if (handler === undefined || !message.isKind(kind)) {
    link.send({ deny: call, reason: `no handler for ${kind}` });
    return;
  }
  if (!message.matches(messages[kind].request, body)) {
    link.send({ deny: call, reason: `malformed ${kind}` });
    return;
  }
  try {
    const reply = await (handler as (body: unknown, caller: Caller) => unknown)(body, caller);
    link.send({ reply: call, body: reply });
  } catch (error) {
    link.send({ deny: call, reason: (error as Error).message });
  }
}

/** The log event for a frame that violates the protocol and ends the link; undefined for a valid call. */
function violationOf(frame: unknown, lastCall: number): 'peer.malformed' | 'peer.repeated' | undefined {
  if (!message.matches(FrameSchema, frame) || !('call' in frame)) return 'peer.malformed';
  // Call numbers increase on a link, so a duplicated call frame is detected and not executed again.
  return frame.call <= lastCall ? 'peer.repeated' : undefined;
}

async function serveCalls(runtime: Runtime, address: Address, link: Link, handlers: Handlers, caller: Caller): Promise<void> {
  let lastCall = 0;
  for (;;) {
    const frame = await link.receive();
    if (Option.isNone(frame)) return;
    const violation = violationOf(frame.value, lastCall);
    if (violation !== undefined) {
      runtime.log(violation, { address });
      return;
    }
    const call = frame.value as CallFrame;
    lastCall = call.call;
    void answerCall(link, caller, handlers, call);
  }
}

async function serveLink(runtime: Runtime, address: Address, link: Link, handlers: Handlers): Promise<void> {
  const outcome = await handshake.perform(runtime, link);
  if (outcome.kind !== 'agreed') {
    runtime.log('peer.incompatible', { address, reason: outcome.kind === 'incompatible' ? outcome.reason : 'it sent no greeting' });
    link.close();
    return;
  }
  let isOpen = true;
  const caller: Caller = {
    pushChange: (change) => link.send({ change }),
    isOpen: () => isOpen,
  };
  await serveCalls(runtime, address, link, handlers, caller);
  isOpen = false;
  link.close();
}

/** Answers calls on every link that is opened to an address; resolves once it listens. */
export function listen(runtime: Runtime, address: Address, handlers: Handlers): Promise<Listener> {
  return runtime.network.listen(address, (link) => void serveLink(runtime, address, link, handlers));
}
