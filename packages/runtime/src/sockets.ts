/** TCP sockets to IP addresses, based on Node.js alone (design 2.2). */
import net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Address, type Fault, type Listener } from '@stallstall/kernel';

/**
 * Connection timeout. A host without power drops the SYN packet, which is retransmitted only after a second; a new attempt comes sooner. The
 * timeout is far above the round-trip time to any region. Unit: milliseconds.
 */
export const connectMilliseconds = 400;

/** Address and options of a listening socket. */
type ListenOptions = Readonly<{ address: Address; backlog?: number; onSocket: (socket: net.Socket) => void }>;

function hostAndPort(address: Address): Readonly<{ host: string; port: number }> {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function unreachable(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'unreachable',
    message: `${address} could not be reached`,
    remedy: 'check that the process runs and is reachable',
    cause,
  });
}

function replyLost(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'reply-lost',
    message: `the reply of ${address} was lost`,
    remedy: 'check that the process runs and is reachable',
    cause,
  });
}

function notListening(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'not-listening',
    message: `nothing listens on ${address}`,
    remedy: 'start the process, or correct the address',
    cause,
  });
}

/** Starts connecting. Node.js throws on an invalid port; that is returned as `unreachable` instead. */
function startConnecting(address: Address): Either.Either<Fault, net.Socket> {
  try {
    return Either.right(net.connect(hostAndPort(address)));
  } catch (error) {
    return Either.left(unreachable(address, error as Error));
  }
}

/**
 * Connects within the given time.
 *
 * @param faultOf - the fault for an error of the socket
 */
function connect(address: Address, milliseconds: number, faultOf: (error: Error) => Fault): Promise<Either.Either<Fault, net.Socket>> {
  const started = startConnecting(address);
  if (Either.isLeft(started)) return Promise.resolve(started);
  const socket = started.right;
  return new Promise(function waitForConnection(resolve) {
    function fail(error: Error): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(Either.left(faultOf(error)));
    }
    const timer = setTimeout(() => fail(new Error('the connection timed out')), milliseconds);
    socket.once('error', fail);
    socket.once('connect', function connected() {
      clearTimeout(timer);
      socket.removeListener('error', fail);
      resolve(Either.right(socket));
    });
  });
}

/** Resolves once the server is listening; rejects if it cannot listen on the address. */
function listen({ address, backlog, onSocket }: ListenOptions): Promise<Listener> {
  const openSockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: false }, function accept(socket) {
    openSockets.add(socket);
    socket.on('close', () => openSockets.delete(socket));
    onSocket(socket);
  });

  function stop(): Promise<void> {
    return new Promise(function closeAll(resolve) {
      server.close(() => resolve());
      for (const socket of openSockets) socket.destroy();
    });
  }

  return new Promise(function waitUntilListening(resolve, reject) {
    server.on('error', reject);
    const options = { ...hostAndPort(address), ...(backlog === undefined ? {} : { backlog }) };
    server.listen(options, () => resolve({ stopAccepting: () => void server.close(), stop }));
  });
}

/** @internal */
export const sockets = { hostAndPort, unreachable, replyLost, notListening, connect, listen } as const;
