/** Links of a real host: ordered messages over one socket, each a JSON value on a line (design 2.2). */
import type net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Address, Fault, Link, Listener } from '@stallstall/kernel';
import { connectMilliseconds, sockets } from './sockets.js';

type LinkState = {
  readonly socket: net.Socket;
  /** Messages that were not received by the user of the link yet. */
  readonly unreceived: unknown[];
  receiver: ((message: Option.Option<unknown>) => void) | undefined;
  /** The beginning of an incomplete line. */
  partialLine: string;
  isOpen: boolean;
};

/** A longer line closes the link. Unit: characters. */
const maxLineLength = 8 * 1024 * 1024;

function end(link: LinkState, closeSocket: () => void): void {
  if (!link.isOpen) return;
  link.isOpen = false;
  closeSocket();
  link.receiver?.(Option.none);
  link.receiver = undefined;
}

function close(link: LinkState): void {
  end(link, () => link.socket.destroy());
}

function reset(link: LinkState): void {
  end(link, () => link.socket.resetAndDestroy());
}

function handleLine(link: LinkState, line: string): void {
  let message: unknown;
  try {
    message = JSON.parse(line);
  } catch {
    close(link);
    return;
  }
  const { receiver } = link;
  link.receiver = undefined;
  if (receiver === undefined) link.unreceived.push(message);
  else receiver(Option.some(message));
}

function handleChunk(link: LinkState, chunk: string): void {
  const lines = (link.partialLine + chunk).split('\n');
  link.partialLine = lines.pop() ?? '';
  if (link.partialLine.length > maxLineLength) close(link);
  for (const line of lines) if (link.isOpen) handleLine(link, line);
}

function receive(link: LinkState): Promise<Option.Option<unknown>> {
  if (link.unreceived.length > 0) return Promise.resolve(Option.some(link.unreceived.shift()));
  if (!link.isOpen) return Promise.resolve(Option.none);
  return new Promise(function wait(resolve) {
    link.receiver = resolve;
  });
}

function createLink(socket: net.Socket): Link {
  const link: LinkState = { socket, unreceived: [], receiver: undefined, partialLine: '', isOpen: true };
  socket.setNoDelay(true);
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => handleChunk(link, chunk));
  socket.on('close', () => close(link));
  socket.on('error', () => close(link));
  return {
    send: function send(message) {
      if (link.isOpen) socket.write(`${JSON.stringify(message)}\n`);
    },
    receive: () => receive(link),
    close: () => close(link),
    reset: () => reset(link),
  };
}

function listen(address: Address, onLink: (link: Link) => void): Promise<Listener> {
  return sockets.listen({ address, onSocket: (socket) => onLink(createLink(socket)) });
}

/** Errors: `unreachable`. */
async function open(address: Address): Promise<Either.Either<Fault, Link>> {
  const connected = await sockets.connect(address, connectMilliseconds, (error) => sockets.unreachable(address, error));
  return Either.map(createLink)(connected);
}

/** @internal */
export const links = { listen, open } as const;
