/** Links between simulated processes: frames in order, held by cuts, lost with resets. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type Link } from '@stallstall/kernel';
import { linkEnd, type LinkEnd } from './link-end.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';

/** How long an attempt to connect waits for an answer. */
export const connectMilliseconds = 3_000;

/** Keeps each direction in order whatever the latencies are. */
function lane(network: SimulatedNetwork, from: SimulatedProcess, to: SimulatedProcess): (action: () => void) => void {
  let last = 0;
  return function put(action) {
    const due = Math.max(network.time.now() + network.latency(), last + 0.001);
    last = due;
    network.carry(from, to, due - network.time.now(), action);
  };
}

/** Opens a link from a process to whoever listens at an address. */
export function openLink(network: SimulatedNetwork, process: SimulatedProcess, address: string): Promise<Either.Either<Fault, Link>> {
  return new Promise((resolve) => {
    let settled = false;
    function settle(result: Either.Either<Fault, Link>): void {
      if (settled) return;
      settled = true;
      resolve(result);
    }
    const listener = network.listeners.get(address);
    function unreachable(): void {
      settle(
        Either.left(
          fault.create({ kind: 'unreachable', message: `nothing listens on ${address}`, remedy: 'start it, or mend the address' }),
        ),
      );
    }
    network.time.at(
      connectMilliseconds,
      () => network.inside(process, unreachable),
      () => !settled,
    );
    if (listener !== undefined && network.dark.has(listener.process.machine)) return;
    if (listener === undefined || !listener.process.alive) {
      network.time.at(network.latency(), () => network.inside(process, unreachable));
      return;
    }
    const there = lane(network, process, listener.process);
    const back = lane(network, listener.process, process);
    let nearDropped = false;
    let farDropped = false;
    const near: LinkEnd = linkEnd(
      (message) => {
        if (!process.alive) return;
        const copy = network.frame(process, message);
        there(() => (nearDropped ? undefined : far.take(copy)));
      },
      () => hangUp(there, far),
      () => {
        nearDropped = true;
      },
    );
    const far: LinkEnd = linkEnd(
      (message) => {
        if (!listener.process.alive) return;
        const copy = network.frame(listener.process, message);
        back(() => (farDropped ? undefined : near.take(copy)));
      },
      () => hangUp(back, near),
      () => {
        farDropped = true;
      },
    );
    function forget(): void {
      process.closers.delete(nearGone);
      listener?.process.closers.delete(farGone);
      process.resets.delete(reset);
      listener?.process.resets.delete(reset);
    }
    function hangUp(put: (action: () => void) => void, other: LinkEnd): void {
      forget();
      put(other.broken);
    }
    function reset(): void {
      forget();
      network.inside(process, near.broken);
      if (listener !== undefined) network.inside(listener.process, far.broken);
    }
    function nearGone(): void {
      there(far.broken);
    }
    function farGone(): void {
      back(near.broken);
    }
    there(() => {
      listener.process.closers.add(farGone);
      process.closers.add(nearGone);
      listener.process.resets.add(reset);
      process.resets.add(reset);
      listener.greet(far.link);
      // Whoever has given up meanwhile says so: nothing stays half open.
      back(() => (settled ? near.link.close() : settle(Either.right(near.link))));
    });
  });
}
