/** TCP by IP numbers, from the runtime alone (design 2.2). */
import net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Address, type Fault, type Listener } from '@stallstall/kernel';

/**
 * A machine without power drops the opening packet, and the runtime's next one comes a second later; dialling anew comes sooner. Far
 * beyond the way to any region and back. Unit: milliseconds.
 */
export const connectMilliseconds = 400;

/** Where to listen, and how. */
type ListenPlan = Readonly<{ address: Address; backlog?: number; onSocket: (socket: net.Socket) => void }>;

function hostAndPort(address: Address): Readonly<{ host: string; port: number }> {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function unreachable(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'unreachable',
    message: `${address} could not be reached`,
    remedy: 'see whether it runs and can be reached',
    cause,
  });
}

function replyLost(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'reply-lost',
    message: `the reply of ${address} was lost`,
    remedy: 'see whether it runs and can be reached',
    cause,
  });
}

function notListening(address: Address, cause: Error): Fault {
  return fault.create({
    kind: 'not-listening',
    message: `nothing listens on ${address}`,
    remedy: 'start it, or mend the address',
    cause,
  });
}

/** The runtime throws at a port that cannot be; whoever connects is told instead. */
function startConnecting(address: Address): Either.Either<Fault, net.Socket> {
  try {
    return Either.right(net.connect(hostAndPort(address)));
  } catch (error) {
    return Either.left(unreachable(address, error as Error));
  }
}

/**
 * Connects within so many milliseconds.
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
    const timer = setTimeout(() => fail(new Error('no connection in time')), milliseconds);
    socket.once('error', fail);
    socket.once('connect', function connected() {
      clearTimeout(timer);
      socket.removeListener('error', fail);
      resolve(Either.right(socket));
    });
  });
}

/** Resolves once the address is listened on; rejects when it cannot be. */
function listen({ address, backlog, onSocket }: ListenPlan): Promise<Listener> {
  const open = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: false }, function accept(socket) {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    onSocket(socket);
  });

  function stop(): Promise<void> {
    return new Promise(function closeAll(resolve) {
      server.close(() => resolve());
      for (const socket of open) socket.destroy();
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
