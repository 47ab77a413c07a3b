/** Links and streams of a real machine: TCP by IP numbers, from the runtime alone (design 2.2). */
import net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Address, type Fault, type Link, type Listening, type Stream } from '@stallstall/kernel';

const longestFrame = 8 * 1024 * 1024;
/**
 * A machine that was dark lets the opening packet fall, and the runtime's next one comes a second later; dialling anew comes sooner. Far
 * beyond the way to any region and back.
 */
export const connectMilliseconds = 400;

function parts(address: Address): Readonly<{ host: string; port: number }> {
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

/** The runtime throws at a port that cannot be; whoever connects is told instead. */
function socketTo(address: Address): Either.Either<Fault, net.Socket> {
  try {
    return Either.right(net.connect(parts(address)));
  } catch (error) {
    return Either.left(unreachable(address, error as Error));
  }
}

/** One JSON value a line, in order, over one socket. */
function linkOver(socket: net.Socket): Link {
  const arrived: unknown[] = [];
  let waiting: ((message: Option.Option<unknown>) => void) | undefined;
  let rest = '';
  let open = true;
  socket.setNoDelay(true);
  socket.setEncoding('utf8');

  function end(closeSocket: () => void): void {
    if (!open) return;
    open = false;
    closeSocket();
    waiting?.(Option.none);
    waiting = undefined;
  }

  function over(): void {
    end(() => socket.destroy());
  }

  function take(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      over();
      return;
    }
    const resolve = waiting;
    waiting = undefined;
    if (resolve === undefined) arrived.push(message);
    else resolve(Option.some(message));
  }

  function data(chunk: string): void {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > longestFrame) over();
    for (const line of lines) if (open) take(line);
  }

  socket.on('data', data);
  socket.on('close', over);
  socket.on('error', over);

  return {
    send: function send(message) {
      if (open) socket.write(`${JSON.stringify(message)}\n`);
    },
    receive: function receive() {
      if (arrived.length > 0) return Promise.resolve(Option.some(arrived.shift()));
      if (!open) return Promise.resolve(Option.none);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
    close: over,
    reset: () => end(() => socket.resetAndDestroy()),
  };
}

function listen(address: Address, greet: (link: Link) => void): Promise<Listening> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    greet(linkOver(socket));
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(parts(address), () =>
      resolve({
        stopAccepting: () => void server.close(),
        stop: () =>
          new Promise((stopped) => {
            server.close(() => stopped());
            for (const socket of sockets) socket.destroy();
          }),
      }),
    );
  });
}

function open(address: Address): Promise<Either.Either<Fault, Link>> {
  const dialled = socketTo(address);
  if (Either.isLeft(dialled)) return Promise.resolve(dialled);
  const socket = dialled.right;
  return new Promise((resolve) => {
    function failed(error: Error): void {
      socket.destroy();
      resolve(Either.left(unreachable(address, error)));
    }
    socket.setTimeout(connectMilliseconds, () => failed(new Error('no connection in time')));
    socket.once('error', failed);
    socket.once('connect', () => {
      socket.removeListener('error', failed);
      socket.setTimeout(0);
      resolve(Either.right(linkOver(socket)));
    });
  });
}

/** What one side may have waiting for a reader that does not read. */
const mostUnsentBytes = 8 * 1024 * 1024;
/** A far end that went dark is noticed by keep-alive probes after so long. */
const keepAliveMilliseconds = 3_000;

function streamOver(socket: net.Socket): Stream {
  const arrived: string[] = [];
  let waiting: ((piece: Option.Option<string>) => void) | undefined;
  let ended = false;
  socket.setNoDelay(true);
  socket.setKeepAlive(true, keepAliveMilliseconds);
  socket.setEncoding('latin1');

  function settle(piece: Option.Option<string>): boolean {
    const resolve = waiting;
    waiting = undefined;
    resolve?.(piece);
    return resolve !== undefined;
  }

  function over(): void {
    ended = true;
    settle(Option.none);
  }

  socket.on('data', function data(piece: string) {
    if (!settle(Option.some(piece))) arrived.push(piece);
  });
  socket.on('end', function end() {
    over();
    socket.end();
  });
  socket.on('close', over);
  socket.on('error', function failed() {
    socket.destroy();
    over();
  });

  return {
    write: function write(text) {
      if (ended || socket.destroyed || !socket.writable) return;
      socket.write(text, 'latin1');
      if (socket.writableLength > mostUnsentBytes) socket.destroy();
    },
    read: function read() {
      const piece = arrived.shift();
      if (piece !== undefined) return Promise.resolve(Option.some(piece));
      if (ended) return Promise.resolve(Option.none);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
    close: function close() {
      ended = true;
      socket.end();
      settle(Option.none);
    },
    reset: function reset() {
      ended = true;
      socket.resetAndDestroy();
      settle(Option.none);
    },
    closed: () => ended,
  };
}

function listenStream(address: Address, greet: (stream: Stream) => void): Promise<Listening> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer({ allowHalfOpen: false }, (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    greet(streamOver(socket));
  });
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen({ ...parts(address), backlog: 1_024 }, () =>
      resolve({
        stopAccepting: () => void server.close(),
        stop: () =>
          new Promise((stopped) => {
            server.close(() => stopped());
            for (const socket of sockets) socket.destroy();
          }),
      }),
    );
  });
}

function openStream(address: Address, milliseconds: number): Promise<Either.Either<Fault, Stream>> {
  const dialled = socketTo(address);
  if (Either.isLeft(dialled)) return Promise.resolve(dialled);
  const socket = dialled.right;
  return new Promise((resolve) => {
    function failed(error: Error): void {
      clearTimeout(timer);
      socket.destroy();
      const notListening = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      resolve(
        Either.left(
          notListening
            ? fault.create({
                kind: 'not-listening',
                message: `nothing listens on ${address}`,
                remedy: 'start it, or mend the address',
                cause: error,
              })
            : unreachable(address, error),
        ),
      );
    }
    const timer = setTimeout(() => failed(new Error('no connection in time')), Math.min(milliseconds, connectMilliseconds));
    socket.once('error', failed);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeListener('error', failed);
      resolve(Either.right(streamOver(socket)));
    });
  });
}

export const links = { parts, unreachable, listen, open, listenStream, openStream } as const;
