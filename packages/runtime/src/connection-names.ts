/** Names for the connections of an HTTP server, so that its user can tell them apart. */
import type net from 'node:net';
import type { Address } from '@stallstall/kernel';

/**
 * Names a connection when it is first seen.
 *
 * @param onClosed - called with the name once the connection is closed
 */
export function connectionNames(address: Address, onClosed: ((name: string) => void) | undefined): (socket: net.Socket) => string {
  const names = new WeakMap<net.Socket, string>();
  let last = 0;
  return function nameOf(socket) {
    const known = names.get(socket);
    if (known !== undefined) return known;
    last += 1;
    const name = `${address}/${last}`;
    names.set(socket, name);
    socket.once('close', () => onClosed?.(name));
    return name;
  };
}
