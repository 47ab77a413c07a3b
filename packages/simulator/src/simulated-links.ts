/** Links between simulated processes: messages arrive in order, are held while the network is cut, and are lost on a reset. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type Link } from '@stallstall/kernel';
import { linkEnd, type LinkEnd } from './link-end.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';

/** Creates one direction of a link: actions run at the receiver in the order they were submitted, whatever their latencies. */
function createOrderedLane(network: SimulatedNetwork, from: SimulatedProcess, to: SimulatedProcess): (action: () => void) => void {
  let lastArrival = 0;
  return function submit(action) {
    const arrival = Math.max(network.time.now() + network.latency(), lastArrival + 0.001);
    lastArrival = arrival;
    network.deliver(from, to, arrival - network.time.now(), action);
  };
}

/** Opens a link from a process to the listener at an address. */
export function openLink(network: SimulatedNetwork, process: SimulatedProcess, address: string): Promise<Either.Either<Fault, Link>> {
  return new Promise((resolve) => {
    let completed = false;
    function complete(result: Either.Either<Fault, Link>): void {
      if (completed) return;
      completed = true;
      resolve(result);
    }
    const listener = network.listeners.get(address);
    function unreachable(): void {
      complete(
        Either.left(
          fault.create({
            kind: 'unreachable',
            message: `nothing listens on ${address}`,
            remedy: 'start the process, or correct the address',
          }),
        ),
      );
    }
    network.time.schedule(
      network.connectMilliseconds,
      () => network.runInProcess(process, unreachable),
      () => !completed,
    );
    if (listener !== undefined && network.unresponsiveMachines.has(listener.process.machine)) return;
    if (listener === undefined || !listener.process.alive) {
      network.time.schedule(network.latency(), () => network.runInProcess(process, unreachable));
      return;
    }
    const toListener = createOrderedLane(network, process, listener.process);
    const toOpener = createOrderedLane(network, listener.process, process);
    let openerReset = false;
    let listenerReset = false;
    const openerEnd: LinkEnd = linkEnd(
      (message) => {
        if (!process.alive) return;
        const copy = network.encodeFrame(process, message);
        toListener(() => (openerReset ? undefined : listenerEnd.deliver(copy)));
      },
      () => disconnectOther(toListener, listenerEnd),
      () => {
        openerReset = true;
      },
    );
    const listenerEnd: LinkEnd = linkEnd(
      (message) => {
        if (!listener.process.alive) return;
        const copy = network.encodeFrame(listener.process, message);
        toOpener(() => (listenerReset ? undefined : openerEnd.deliver(copy)));
      },
      () => disconnectOther(toOpener, openerEnd),
      () => {
        listenerReset = true;
      },
    );
    function removeHandlers(): void {
      process.closeHandlers.delete(onOpenerExit);
      listener?.process.closeHandlers.delete(onListenerExit);
      process.resetHandlers.delete(reset);
      listener?.process.resetHandlers.delete(reset);
    }
    function disconnectOther(lane: (action: () => void) => void, other: LinkEnd): void {
      removeHandlers();
      lane(other.disconnect);
    }
    function reset(): void {
      removeHandlers();
      network.runInProcess(process, openerEnd.disconnect);
      if (listener !== undefined) network.runInProcess(listener.process, listenerEnd.disconnect);
    }
    function onOpenerExit(): void {
      toListener(listenerEnd.disconnect);
    }
    function onListenerExit(): void {
      toOpener(openerEnd.disconnect);
    }
    toListener(() => {
      listener.process.closeHandlers.add(onListenerExit);
      process.closeHandlers.add(onOpenerExit);
      listener.process.resetHandlers.add(reset);
      process.resetHandlers.add(reset);
      listener.onLink(listenerEnd.link);
      // If the opener has timed out meanwhile it closes the link, so that the listener is not left with a half-open one.
      toOpener(() => (completed ? openerEnd.link.close() : complete(Either.right(openerEnd.link))));
    });
  });
}
