/** Text streams over simulated links, so that ordering, network cuts and unresponsive machines apply to them as well. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault, type Link, type Stream } from '@stallstall/kernel';
import { streamFromLink } from './frames.js';
import { openLink } from './simulated-links.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';

/** The key of a stream listener in the table of link listeners. */
export function streamKey(address: string): string {
  return `stream ${address}`;
}

/** Opens a text stream. Returns a fault if that takes longer than the given milliseconds. */
export async function openStream(
  network: SimulatedNetwork,
  process: SimulatedProcess,
  address: string,
  milliseconds: number,
): Promise<Either.Either<Fault, Stream>> {
  const listener = network.listeners.get(streamKey(address));
  const timeout = new Promise<Either.Either<Fault, Link>>((resolve) => {
    network.time.schedule(milliseconds, () =>
      network.runInProcess(process, () =>
        resolve(
          Either.left(
            fault.create({
              kind: 'unreachable',
              message: `${address} could not be reached`,
              remedy: 'check that it is running and reachable',
            }),
          ),
        ),
      ),
    );
  });
  const opening = openLink(network, process, streamKey(address));
  const opened = await Promise.race([opening, timeout]);
  if (Either.isRight(opened)) return Either.right(streamFromLink(opened.right));
  void opening.then((link) => {
    if (Either.isRight(link)) link.right.close();
  });
  const notListening = listener === undefined || (!listener.process.alive && !network.unresponsiveMachines.has(listener.process.machine));
  return notListening
    ? Either.left(
        fault.create({
          kind: 'not-listening',
          message: `nothing listens on ${address}`,
          remedy: 'start the process, or correct the address',
        }),
      )
    : opened;
}
