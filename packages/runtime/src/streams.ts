/** Streams of a real host: text in both directions as it arrives, one character per byte (design 2.2). */
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Fault, Listener, Stream } from '@stallstall/kernel';
import { connectMilliseconds, sockets } from './sockets.js';

type StreamState = {
  readonly socket: net.Socket;
  /** Chunks that were not read yet. */
  readonly unread: string[];
  reader: ((chunk: Option.Option<string>) => void) | undefined;
  isEnded: boolean;
};

/** A stream is closed when more bytes are buffered for a peer that does not read. */
const maxUnsentBytes = 8 * 1024 * 1024;
/** Idle time before keep-alive probes, which detect a peer without power. */
const keepAliveMilliseconds = 3_000;
/** Large enough for many clients that connect at the same time. */
const backlog = 1_024;

/** Passes a chunk to the waiting reader. Returns false if no reader is waiting. */
function deliver(stream: StreamState, chunk: Option.Option<string>): boolean {
  const { reader } = stream;
  stream.reader = undefined;
  reader?.(chunk);
  return reader !== undefined;
}

function markEnded(stream: StreamState): void {
  stream.isEnded = true;
  deliver(stream, Option.none);
}

function attachListeners(stream: StreamState): void {
  const { socket } = stream;
  socket.on('data', function onData(chunk: string) {
    if (!deliver(stream, Option.some(chunk))) stream.unread.push(chunk);
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
  if (socket.writableLength > maxUnsentBytes) socket.destroy();
}

function read(stream: StreamState): Promise<Option.Option<string>> {
  const chunk = stream.unread.shift();
  if (chunk !== undefined) return Promise.resolve(Option.some(chunk));
  if (stream.isEnded) return Promise.resolve(Option.none);
  return new Promise(function wait(resolve) {
    stream.reader = resolve;
  });
}

function createStream(socket: net.Socket): Stream {
  const stream: StreamState = { socket, unread: [], reader: undefined, isEnded: false };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, keepAliveMilliseconds);
  socket.setEncoding('latin1');
  attachListeners(stream);
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
    isFlushed: () => socket.destroyed || socket.writableLength === 0,
  };
}

function listen(address: Address, onStream: (stream: Stream) => void): Promise<Listener> {
  return sockets.listen({ address, backlog, onSocket: (socket) => onStream(createStream(socket)) });
}

/** Errors: `not-listening` if the host refuses the connection, otherwise `unreachable`. */
async function open(address: Address, milliseconds: number): Promise<Either.Either<Fault, Stream>> {
  const connected = await sockets.connect(address, Math.min(milliseconds, connectMilliseconds), function faultOf(error) {
    const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    return isRefused ? sockets.notListening(address, error) : sockets.unreachable(address, error);
  });
  return Either.map(createStream)(connected);
}

/** @internal */
export const streams = { listen, open } as const;
