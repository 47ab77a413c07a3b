/** Calls to other cores at their own addresses, over links that are held only while they are used (design 4.8). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import type { Request, MessageKind, Reply } from '@stallstall/message';
import { peer, type Peer } from '@stallstall/peer';

/** Asks whoever listens at an address; none when it is out of reach or does not answer in time. */
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
    for (const [address, held] of links) {
      if (held.pendingCalls > 0 || now - held.usedAt < idleCloseMilliseconds) continue;
      held.peer.close();
      links.delete(address);
    }
  }

  function linkTo(address: string): CachedLink {
    closeIdle();
    const held = links.get(address) ?? {
      peer: peer.dial(runtime, identifiers.address(address)),
      usedAt: runtime.clock.now(),
      pendingCalls: 0,
    };
    links.set(address, held);
    return held;
  }

  async function call<Kind extends MessageKind>(
    address: string,
    kind: Kind,
    body: Request<Kind>,
    milliseconds: number,
  ): Promise<Option.Option<Reply<Kind>>> {
    const held = linkTo(address);
    held.pendingCalls += 1;
    for (let looks = 0; looks < connectPolls && !held.peer.connected(); looks += 1) await runtime.clock.sleep(connectPollMilliseconds);
    const reply = await held.peer.call(kind, body, milliseconds);
    held.pendingCalls -= 1;
    held.usedAt = runtime.clock.now();
    runtime.clock.startTimer(idleCloseMilliseconds, closeIdle);
    return reply;
  }

  return {
    call,
    stop: function stop() {
      for (const held of links.values()) held.peer.close();
      links.clear();
    },
  };
}

export const coreCalls = { create } as const;
