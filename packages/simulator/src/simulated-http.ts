/** HTTP between simulated processes: a connection carries one exchange at a time and is lost when its peer process ends. */
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
import { jsonCopy } from './frames.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulatedProcess } from './simulated-process.js';

/** Creates an HTTP connection from a process to an address. The first exchange opens it. */
export function connect(network: SimulatedNetwork, process: SimulatedProcess, address: string): HttpConnection {
  const id = `connection-${network.nextToken()}`;
  network.connectionMachines.set(id, process.machine);
  let peerProcess: SimulatedProcess | undefined;
  let peerServer: HttpServer | undefined;
  let closed = false;
  let completePending: ((result: Either.Either<Fault, HttpReply>) => void) | undefined;

  function exchangeFault(kind: 'unreachable' | 'reply-lost'): Fault {
    return fault.create({
      kind,
      message: kind === 'unreachable' ? `${address} could not be reached` : `the reply from ${address} was lost`,
      remedy: 'check that it is running and reachable',
    });
  }

  function onPeerExit(): void {
    if (peerProcess === undefined) return;
    network.deliver(peerProcess, process, network.latency(), () => {
      closed = true;
      completePending?.(Either.left(exchangeFault('reply-lost')));
    });
  }

  function notifyPeerOfClose(): void {
    const server = peerServer;
    if (peerProcess === undefined || server === undefined) return;
    peerProcess.closeHandlers.delete(onPeerExit);
    removeResetHandlers();
    network.deliver(process, peerProcess, network.latency(), () => server.connectionClosed?.(id));
  }

  function removeResetHandlers(): void {
    process.resetHandlers.delete(reset);
    peerProcess?.resetHandlers.delete(reset);
  }

  function reset(): void {
    if (closed || peerProcess === undefined) return;
    closed = true;
    removeResetHandlers();
    peerProcess.closeHandlers.delete(onPeerExit);
    process.closeHandlers.delete(notifyPeerOfClose);
    const server = peerServer;
    network.runInProcess(peerProcess, () => server?.connectionClosed?.(id));
    network.runInProcess(process, () => completePending?.(Either.left(exchangeFault('reply-lost'))));
  }

  function close(): void {
    if (closed) return;
    closed = true;
    process.closeHandlers.delete(notifyPeerOfClose);
    notifyPeerOfClose();
    completePending?.(Either.left(exchangeFault('reply-lost')));
  }

  function connectToPeer(): Promise<boolean> {
    if (peerProcess !== undefined) return Promise.resolve(true);
    return new Promise((resolve) => {
      const listener = network.servers.get(address);
      const isUnresponsive =
        listener !== undefined && (network.unresponsiveMachines.has(listener.process.machine) || network.isCut(process, listener.process));
      if (!isUnresponsive && (listener === undefined || !listener.process.alive)) {
        network.time.schedule(network.latency(), () => network.runInProcess(process, () => resolve(false)));
        return;
      }
      network.time.schedule(
        network.connectMilliseconds,
        () => network.runInProcess(process, () => resolve(false)),
        () => peerProcess === undefined && !closed,
      );
      if (isUnresponsive || listener === undefined) return;
      network.deliver(process, listener.process, network.latency(), () => {
        if (closed) return;
        peerProcess = listener.process;
        peerServer = listener.server;
        listener.process.closeHandlers.add(onPeerExit);
        process.closeHandlers.add(notifyPeerOfClose);
        listener.process.resetHandlers.add(reset);
        process.resetHandlers.add(reset);
        network.deliver(listener.process, process, network.latency(), () => resolve(true));
      });
    });
  }

  function exchange(request: OutgoingHttpRequest, milliseconds: number): Promise<Either.Either<Fault, HttpReply>> {
    return new Promise((resolve) => {
      let completed = false;
      let requestSent = false;
      function complete(result: Either.Either<Fault, HttpReply>): void {
        if (completed) return;
        completed = true;
        completePending = undefined;
        resolve(result);
      }
      if (closed) {
        complete(Either.left(exchangeFault('unreachable')));
        return;
      }
      completePending = complete;
      network.time.schedule(
        milliseconds,
        () =>
          network.runInProcess(process, () => {
            if (completed) return;
            complete(Either.left(exchangeFault(requestSent ? 'reply-lost' : 'unreachable')));
            close();
          }),
        () => !completed,
      );
      void connectToPeer().then((reached) => {
        if (completed || !process.alive) return;
        const targetProcess = peerProcess;
        const server = peerServer;
        if (!reached || targetProcess === undefined || server === undefined || closed) {
          complete(Either.left(exchangeFault('unreachable')));
          return;
        }
        if (request.sendBefore !== undefined && process.clockOffset + network.time.now() * process.clockRate >= request.sendBefore) {
          complete(Either.left(exchangeFault('unreachable')));
          close();
          return;
        }
        requestSent = true;
        const [path, query] = request.path.split('?');
        const requestBody = jsonCopy(request.body);
        network.deliver(
          process,
          targetProcess,
          network.latency(),
          () => {
            void http
              .dispatch(server.routes, {
                method: request.method,
                path: path ?? '',
                query: Object.fromEntries(new URLSearchParams(query ?? '')),
                headers: request.headers ?? {},
                body: requestBody,
                connection: id,
              })
              .then((reply) => {
                if (!targetProcess.alive) return;
                const replyCopy = { ...reply, body: jsonCopy(reply.body) };
                network.deliver(targetProcess, process, network.latency(), () => {
                  complete(Either.right(replyCopy));
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
