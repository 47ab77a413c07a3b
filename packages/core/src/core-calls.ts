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

type Held = { readonly peer: Peer; usedAt: Instant; open: number };

const idleMilliseconds = 3_000;
const dialLookMilliseconds = 20;
const dialLooks = 10;

function create(runtime: Runtime): CoreCalls {
  const links = new Map<string, Held>();

  function closeIdle(): void {
    const now = runtime.clock.now();
    for (const [address, held] of links) {
      if (held.open > 0 || now - held.usedAt < idleMilliseconds) continue;
      held.peer.close();
      links.delete(address);
    }
  }

  function linkTo(address: string): Held {
    closeIdle();
    const held = links.get(address) ?? { peer: peer.dial(runtime, identifiers.address(address)), usedAt: runtime.clock.now(), open: 0 };
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
    held.open += 1;
    for (let looks = 0; looks < dialLooks && !held.peer.connected(); looks += 1) await runtime.clock.sleep(dialLookMilliseconds);
    const reply = await held.peer.call(kind, body, milliseconds);
    held.open -= 1;
    held.usedAt = runtime.clock.now();
    runtime.clock.startTimer(idleMilliseconds, closeIdle);
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
