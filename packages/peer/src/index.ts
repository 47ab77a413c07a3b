// Calls between nodes over held links: one task for each peer and each connection (design 3.2).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Timer, Kernel, Link, Listening, Protocols } from '@stallstall/kernel';
import {
  ChangeSchema,
  FrameSchema,
  GreetSchema,
  message,
  messages,
  type Request,
  type Change,
  type MessageKind,
  type Reply,
} from '@stallstall/message';

export type Peer = Readonly<{
  address: Address;
  call: <Kind extends MessageKind>(kind: Kind, body: Request<Kind>, milliseconds: number) => Promise<Option.Option<Reply<Kind>>>;
  connected: () => boolean;
  /** The version agreed on with who serves the link; 0 while there is none. */
  protocol: () => number;
  close: () => void;
}>;

/** What a served link can do besides replying: hand over changes, and tell when it has gone. */
export type Caller = Readonly<{ change: (change: Change) => void; open: () => boolean }>;

export type Handlers = {
  readonly [Kind in MessageKind]?: (body: Request<Kind>, caller: Caller) => Promise<Reply<Kind>> | Reply<Kind>;
};

type Waiting = Readonly<{ kind: MessageKind; settle: (reply: Option.Option<unknown>) => void; timer: Timer }>;

export type PeerEvents = Readonly<{
  connected?: () => void;
  changed?: (change: Change) => void;
}>;

/** How long a dialler waits after a failed or broken link; jittered so that returns do not come together. */
const redialMilliseconds = 150;
/** The first tries come sooner: whoever is dialled may just be starting. */
const firstRedialMilliseconds = 25;
/** So many calls in a row without an answer, and the link is taken for half open and dialled anew. */
const silentCalls = 5;
const greetMilliseconds = 2_000;
/** So many calls that were given up are remembered on a link: their replies may still come, those of others are an error. */
const givenUpKept = 1_000;

/** The highest version that both speak; 0 when there is none. */
function agreed(own: Protocols, other: Protocols): number {
  const highest = Math.min(own.to, other.to);
  return highest >= Math.max(own.from, other.from) ? highest : 0;
}

function strange(own: Protocols, other: Protocols): string {
  return `it speaks protocols ${other.from} to ${other.to}, this process ${own.from} to ${own.to}; run versions of stallstall at most one step apart, upgrading one process at a time`;
}

/** Greets the other side and waits for its greeting. */
async function greet(kernel: Kernel, link: Link): Promise<Option.Option<Protocols>> {
  link.send({ greet: kernel.protocols });
  const frame = await link.receive();
  return Option.isSome(frame) && message.matches(GreetSchema, frame.value) ? Option.some(frame.value.greet) : Option.none;
}

function dial(kernel: Kernel, address: Address, events: PeerEvents = {}): Peer {
  const waiting = new Map<number, Waiting>();
  /** Calls of the current link whose time ran out. */
  const givenUp = new Set<number>();
  let lastCall = 0;
  let current: Option.Option<Link> = Option.none;
  let version = 0;
  let lastStrange = '';
  let closed = false;
  let silent = 0;
  let helds = 0;
  let tries = 0;

  function settle(call: number, reply: Option.Option<unknown>): void {
    const entry = waiting.get(call);
    if (entry === undefined) return;
    waiting.delete(call);
    entry.timer.cancel();
    entry.settle(reply);
  }

  function settleAll(): void {
    for (const call of [...waiting.keys()]) settle(call, Option.none);
  }

  /** A late reply is dropped once; one to a call that was never made, or was replied before, ends the link. */
  function isLate(call: number): boolean {
    return givenUp.delete(call);
  }

  function take(frame: unknown): boolean {
    if (!message.matches(FrameSchema, frame)) return false;
    silent = 0;
    if ('reply' in frame) {
      const entry = waiting.get(frame.reply);
      if (entry === undefined) return isLate(frame.reply);
      if (!message.matches(messages[entry.kind].reply, frame.body)) return false;
      settle(frame.reply, Option.some(frame.body));
      return true;
    }
    if ('deny' in frame) {
      if (!waiting.has(frame.deny)) return isLate(frame.deny);
      kernel.log('peer.denied', { address, reason: frame.reason });
      settle(frame.deny, Option.none);
      return true;
    }
    if ('change' in frame && message.matches(ChangeSchema, frame.change)) {
      events.changed?.(frame.change);
      return true;
    }
    return false;
  }

  async function hold(link: Link): Promise<void> {
    const timer = kernel.clock.startTimer(greetMilliseconds, link.close);
    const greeted = await greet(kernel, link);
    timer.cancel();
    version = Option.isSome(greeted) ? agreed(kernel.protocols, greeted.value) : 0;
    if (version === 0 || closed) {
      const reason = Option.isSome(greeted) ? strange(kernel.protocols, greeted.value) : '';
      if (reason !== '' && reason !== lastStrange) kernel.log('peer.strange', { address, reason });
      lastStrange = reason;
      link.close();
      return;
    }
    current = Option.some(link);
    givenUp.clear();
    silent = 0;
    helds += 1;
    events.connected?.();
    for (;;) {
      const frame = await link.receive();
      if (Option.isNone(frame)) break;
      if (!take(frame.value)) {
        kernel.log('peer.malformed', { address });
        break;
      }
    }
    current = Option.none;
    version = 0;
    link.close();
    settleAll();
  }

  async function task(): Promise<void> {
    while (!closed) {
      const opened = await kernel.network.open(address);
      if (closed) {
        if (Either.isRight(opened)) opened.right.close();
        return;
      }
      const heldBefore = helds;
      if (Either.isRight(opened)) await hold(opened.right);
      tries = helds > heldBefore ? 0 : tries + 1;
      const pause = Math.min(redialMilliseconds, firstRedialMilliseconds * 2 ** Math.min(tries, 8));
      if (!closed) await kernel.clock.sleep(pause * (0.5 + kernel.randomness.fraction()));
    }
  }

  function giveUp(call: number): void {
    givenUp.add(call);
    const [oldest] = givenUp;
    if (givenUp.size > givenUpKept && oldest !== undefined) givenUp.delete(oldest);
  }

  function call<Kind extends MessageKind>(kind: Kind, body: Request<Kind>, milliseconds: number): Promise<Option.Option<Reply<Kind>>> {
    if (Option.isNone(current)) return Promise.resolve(Option.none);
    const link = current.value;
    lastCall += 1;
    const number = lastCall;
    return new Promise(function wait(resolve) {
      const timer = kernel.clock.startTimer(milliseconds, function late() {
        settle(number, Option.none);
        giveUp(number);
        silent += 1;
        // By a reset, so that what has not arrived yet is not taken later, when nobody waits for it any more.
        if (silent >= silentCalls) link.reset();
      });
      waiting.set(number, { kind, settle: resolve as (reply: Option.Option<unknown>) => void, timer });
      link.send({ call: number, kind, body });
    });
  }

  function close(): void {
    closed = true;
    if (Option.isSome(current)) {
      if (waiting.size > 0) current.value.reset();
      else current.value.close();
    }
    settleAll();
  }

  function connected(): boolean {
    return Option.isSome(current);
  }

  void task();
  return { address, call, connected, close, protocol: () => version };
}

async function replyTo(
  link: Link,
  caller: Caller,
  handlers: Handlers,
  frame: Readonly<{ call: number; kind: string; body: unknown }>,
): Promise<void> {
  const handler = message.isKind(frame.kind) ? handlers[frame.kind] : undefined;
  if (handler === undefined || !message.isKind(frame.kind)) {
    link.send({ deny: frame.call, reason: `no handler for ${frame.kind}` });
    return;
  }
  if (!message.matches(messages[frame.kind].ask, frame.body)) {
    link.send({ deny: frame.call, reason: `malformed ${frame.kind}` });
    return;
  }
  try {
    const reply = await (handler as (body: unknown, caller: Caller) => unknown)(frame.body, caller);
    link.send({ reply: frame.call, body: reply });
  } catch (error) {
    link.send({ deny: frame.call, reason: (error as Error).message });
  }
}

function listen(kernel: Kernel, address: Address, handlers: Handlers): Promise<Listening> {
  async function task(link: Link): Promise<void> {
    const timer = kernel.clock.startTimer(greetMilliseconds, link.close);
    const greeted = await greet(kernel, link);
    timer.cancel();
    if (Option.isNone(greeted) || agreed(kernel.protocols, greeted.value) === 0) {
      kernel.log('peer.strange', {
        address,
        reason: Option.isSome(greeted) ? strange(kernel.protocols, greeted.value) : 'it sent no greeting',
      });
      link.close();
      return;
    }
    let open = true;
    let lastCall = 0;
    const caller: Caller = {
      change: function change(body) {
        link.send({ change: body });
      },
      open: function isOpen() {
        return open;
      },
    };
    for (;;) {
      const frame = await link.receive();
      if (Option.isNone(frame)) break;
      if (!message.matches(FrameSchema, frame.value) || !('call' in frame.value)) {
        kernel.log('peer.malformed', { address });
        break;
      }
      // Numbers rise on a link: a call that comes a second time is not carried out again.
      if (frame.value.call <= lastCall) {
        kernel.log('peer.repeated', { address });
        break;
      }
      lastCall = frame.value.call;
      void replyTo(link, caller, handlers, frame.value);
    }
    open = false;
    link.close();
  }

  return kernel.network.listen(address, function greet(link) {
    void task(link);
  });
}

export const peer = { dial, listen } as const;
export * from './repeatable.js';
