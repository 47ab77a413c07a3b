/** Calls other cores by address, over links that are closed once they have been idle for some time (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import type { Request, MessageKind, Reply } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';

/** Calls the process at an address; none when it is unreachable or does not reply in time. */
export type CoreCall = <Kind extends MessageKind>(
  address: string,
  kind: Kind,
  body: Request<Kind>,
  milliseconds: number,
) => Promise<Option.Option<Reply<Kind>>>;

export type CoreCalls = Readonly<{ call: CoreCall; stop: () => void }>;

type CachedLink = { readonly peer: Peer; usedAt: Instant; pendingCalls: number };

const idleCloseMilliseconds = 3_000;
const connectPollMilliseconds = 20;
const connectPolls = 10;

function create(runtime: Runtime): CoreCalls {
  const links = new Map<string, CachedLink>();

  function closeIdle(): void {
    const now = runtime.clock.now();
    for (const [address, link] of links) {
      if (link.pendingCalls > 0 || now - link.usedAt < idleCloseMilliseconds) continue;
      link.peer.close();
      links.delete(address);
    }
  }

  function linkTo(address: string): CachedLink {
    closeIdle();
    const link = links.get(address) ?? {
      peer: peer.dial(runtime, identifiers.address(address)),
      usedAt: runtime.clock.now(),
      pendingCalls: 0,
    };
    links.set(address, link);
    return link;
  }

  async function call<Kind extends MessageKind>(
    address: string,
    kind: Kind,
    body: Request<Kind>,
    milliseconds: number,
  ): Promise<Option.Option<Reply<Kind>>> {
    const link = linkTo(address);
    link.pendingCalls += 1;
    for (let polls = 0; polls < connectPolls && !link.peer.isConnected(); polls += 1) await runtime.clock.sleep(connectPollMilliseconds);
    const reply = await link.peer.call(kind, body, milliseconds);
    link.pendingCalls -= 1;
    link.usedAt = runtime.clock.now();
    runtime.clock.startTimer(idleCloseMilliseconds, closeIdle);
    return reply;
  }

  return {
    call,
    stop: function stop() {
      for (const link of links.values()) link.peer.close();
      links.clear();
    },
  };
}

export const coreCalls = { create } as const;
