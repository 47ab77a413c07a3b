/** HTTP between simulated processes: one connection, one exchange after the other, lost with its peer. */
import * as Either from 'fp-ts/lib/Either.js';
import {
  fault,
  http,
  type Fault,
  type HttpConnection,
  type HttpReply,
  type HttpServer,
  type OutgoingHttpRequest,
} from '@stallstall/kernel';
import { copied } from './frames.js';
import { connectMilliseconds } from './simulated-links.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';

/** An HTTP connection from a process to an address; it is opened by its first exchange. */
export function connect(network: SimulatedNetwork, process: SimulatedProcess, address: string): HttpConnection {
  const id = `connection-${network.nextToken()}`;
  network.origins.set(id, process.machine);
  let peerBody: SimulatedProcess | undefined;
  let peerServer: HttpServer | undefined;
  let closed = false;
  let pending: ((result: Either.Either<Fault, HttpReply>) => void) | undefined;

  function lostFault(kind: 'unreachable' | 'reply-lost'): Fault {
    return fault.create({
      kind,
      message: kind === 'unreachable' ? `${address} could not be reached` : `the reply of ${address} was lost`,
      remedy: 'see whether it runs and can be reached',
    });
  }

  function farGone(): void {
    if (peerBody === undefined) return;
    network.carry(peerBody, process, network.latency(), () => {
      closed = true;
      pending?.(Either.left(lostFault('reply-lost')));
    });
  }

  function tellClosed(): void {
    const server = peerServer;
    if (peerBody === undefined || server === undefined) return;
    peerBody.closers.delete(farGone);
    forgetReset();
    network.carry(process, peerBody, network.latency(), () => server.connectionClosed?.(id));
  }

  function forgetReset(): void {
    process.resets.delete(reset);
    peerBody?.resets.delete(reset);
  }

  function reset(): void {
    if (closed || peerBody === undefined) return;
    closed = true;
    forgetReset();
    peerBody.closers.delete(farGone);
    process.closers.delete(tellClosed);
    const server = peerServer;
    network.inside(peerBody, () => server?.connectionClosed?.(id));
    network.inside(process, () => pending?.(Either.left(lostFault('reply-lost'))));
  }

  function close(): void {
    if (closed) return;
    closed = true;
    process.closers.delete(tellClosed);
    tellClosed();
    pending?.(Either.left(lostFault('reply-lost')));
  }

  function reach(): Promise<boolean> {
    if (peerBody !== undefined) return Promise.resolve(true);
    return new Promise((resolve) => {
      const found = network.servers.get(address);
      const silent = found !== undefined && (network.dark.has(found.process.machine) || network.isCut(process, found.process));
      if (!silent && (found === undefined || !found.process.alive)) {
        network.time.at(network.latency(), () => network.inside(process, () => resolve(false)));
        return;
      }
      network.time.at(
        connectMilliseconds,
        () => network.inside(process, () => resolve(false)),
        () => peerBody === undefined && !closed,
      );
      if (silent || found === undefined) return;
      network.carry(process, found.process, network.latency(), () => {
        if (closed) return;
        peerBody = found.process;
        peerServer = found.server;
        found.process.closers.add(farGone);
        process.closers.add(tellClosed);
        found.process.resets.add(reset);
        process.resets.add(reset);
        network.carry(found.process, process, network.latency(), () => resolve(true));
      });
    });
  }

  function exchange(ask: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
    return new Promise((resolve) => {
      let settled = false;
      let left = false;
      function settle(result: Either.Either<Fault, HttpReply>): void {
        if (settled) return;
        settled = true;
        pending = undefined;
        resolve(result);
      }
      if (closed) {
        settle(Either.left(lostFault('unreachable')));
        return;
      }
      pending = settle;
      network.time.at(
        milliseconds,
        () =>
          network.inside(process, () => {
            if (settled) return;
            settle(Either.left(lostFault(left ? 'reply-lost' : 'unreachable')));
            close();
          }),
        () => !settled,
      );
      void reach().then((reached) => {
        if (settled || !process.alive) return;
        const far = peerBody;
        const server = peerServer;
        if (!reached || far === undefined || server === undefined || closed) {
          settle(Either.left(lostFault('unreachable')));
          return;
        }
        if (ask.sendBefore !== undefined && process.clockOffset + network.time.now() * process.clockRate >= ask.sendBefore) {
          settle(Either.left(lostFault('unreachable')));
          close();
          return;
        }
        left = true;
        const [path, query] = ask.path.split('?');
        const copy = copied(ask.body);
        network.carry(
          process,
          far,
          network.latency(),
          () => {
            void http
              .dispatch(server.routes, {
                method: ask.method,
                path: path ?? '',
                query: Object.fromEntries(new URLSearchParams(query ?? '')),
                headers: ask.headers ?? {},
                body: copy,
                connection: id,
              })
              .then((reply) => {
                if (!far.alive) return;
                const reported = { ...reply, body: copied(reply.body) };
                network.carry(far, process, network.latency(), () => {
                  settle(Either.right(reported));
                  if (reply.headers?.['connection'] === 'close') close();
                });
              });
          },
          () => closed,
        );
      });
    });
  }

  return { exchange, close, closed: () => closed };
}
