/** Names the connections of an HTTP server, so that its request handlers can tell them apart. */
import type net from 'node:net';
import type { Address } from '@stallstall/kernel';

/**
 * Returns a function that names a connection when it is first seen.
 *
 * @param onClosed - called with the name once the connection is closed
 */
export function connectionNames(address: Address, onClosed: ((name: string) => void) | undefined): (socket: net.Socket) => string {
  const names = new WeakMap<net.Socket, string>();
  let lastNumber = 0;
  return function nameOf(socket) {
    const assigned = names.get(socket);
    if (assigned !== undefined) return assigned;
    lastNumber += 1;
    const name = `${address}/${lastNumber}`;
    names.set(socket, name);
    socket.once('close', () => onClosed?.(name));
    return name;
  };
}
