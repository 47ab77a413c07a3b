/** Streams of a real machine: text both ways as it arrives, one character for each byte (design 2.2). */
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Fault, Listener, Stream } from '@stallstall/kernel';
import { connectMilliseconds, sockets } from './sockets.js';

type StreamState = {
  readonly socket: net.Socket;
  /** Pieces that nobody has read yet. */
  readonly arrived: string[];
  reader: ((piece: Option.Option<string>) => void) | undefined;
  isEnded: boolean;
};

/** What one side may have waiting for a reader that does not read. */
const mostUnsentBytes = 8 * 1024 * 1024;
/** A far end without power is noticed by keep-alive probes after so long. */
const keepAliveMilliseconds = 3_000;
/** Many clients may connect at the same moment. */
const backlog = 1_024;

/** Gives a piece to whoever waits for one; false where nobody does. */
function deliver(stream: StreamState, piece: Option.Option<string>): boolean {
  const { reader } = stream;
  stream.reader = undefined;
  reader?.(piece);
  return reader !== undefined;
}

function markEnded(stream: StreamState): void {
  stream.isEnded = true;
  deliver(stream, Option.none);
}

function watch(stream: StreamState): void {
  const { socket } = stream;
  socket.on('data', function onData(piece: string) {
    if (!deliver(stream, Option.some(piece))) stream.arrived.push(piece);
  });
  socket.on('end', function onEnd() {
    markEnded(stream);
    socket.end();
  });
  socket.on('close', () => markEnded(stream));
  socket.on('error', function onError() {
    socket.destroy();
    markEnded(stream);
  });
}

function write({ socket, isEnded }: StreamState, text: string): void {
  if (isEnded || socket.destroyed || !socket.writable) return;
  socket.write(text, 'latin1');
  if (socket.writableLength > mostUnsentBytes) socket.destroy();
}

function read(stream: StreamState): Promise<Option.Option<string>> {
  const piece = stream.arrived.shift();
  if (piece !== undefined) return Promise.resolve(Option.some(piece));
  if (stream.isEnded) return Promise.resolve(Option.none);
  return new Promise(function wait(resolve) {
    stream.reader = resolve;
  });
}

function streamOver(socket: net.Socket): Stream {
  const stream: StreamState = { socket, arrived: [], reader: undefined, isEnded: false };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, keepAliveMilliseconds);
  socket.setEncoding('latin1');
  watch(stream);
  return {
    write: (text) => write(stream, text),
    read: () => read(stream),
    close: function close() {
      stream.isEnded = true;
      socket.end();
      deliver(stream, Option.none);
    },
    reset: function reset() {
      stream.isEnded = true;
      socket.resetAndDestroy();
      deliver(stream, Option.none);
    },
    closed: () => stream.isEnded,
  };
}

function listen(address: Address, onStream: (stream: Stream) => void): Promise<Listener> {
  return sockets.listen({ address, backlog, onSocket: (socket) => onStream(streamOver(socket)) });
}

/** Errors: `not-listening` when the machine refuses the connection, else `unreachable`. */
async function open(address: Address, milliseconds: number): Promise<Either.Either<Fault, Stream>> {
  const connected = await sockets.connect(address, Math.min(milliseconds, connectMilliseconds), function faultOf(error) {
    const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    return isRefused ? sockets.notListening(address, error) : sockets.unreachable(address, error);
  });
  return Either.map(streamOver)(connected);
}

/** @internal */
export const streams = { listen, open } as const;
