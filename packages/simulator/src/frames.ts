/** Copies of messages as JSON serialization would make them, and text streams over links. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Link, Stream } from '@stallstall/kernel';

/** Copies a value as a JSON round trip would, without producing the text, so that sender and receiver share no object. */
export function jsonCopy(value: unknown): unknown {
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map((item) => jsonCopy(item) ?? null);
  const result: Record<string, unknown> = {};
  for (const [name, inner] of Object.entries(value)) if (inner !== undefined && typeof inner !== 'function') result[name] = jsonCopy(inner);
  return result;
}

const beyondOneByte = /[^\0-\xff]/;

/** What a socket makes of byte text: of a character beyond one byte, the upper byte is lost. */
function asBytes(text: string): string {
  return beyondOneByte.test(text) ? Buffer.from(text, 'latin1').toString('latin1') : text;
}

/** Wraps a link as a text stream, so that ordering, network cuts and unresponsive machines apply to it as well. */
export function streamFromLink(link: Link): Stream {
  let closed = false;
  return {
    write: (text) => link.send(asBytes(text)),
    read: async function read() {
      if (closed) return Option.none;
      const piece = await link.receive();
      if (Option.isNone(piece)) closed = true;
      return closed ? Option.none : Option.map(String)(piece);
    },
    close: function close() {
      closed = true;
      link.close();
    },
    reset: function reset() {
      closed = true;
      link.reset();
    },
    closed: () => closed,
    // A simulated network accepts everything at once, and delivers it after the process has ended.
    isFlushed: () => true,
  };
}
