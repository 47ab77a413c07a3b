/** What the simulated network hands over: values copied as a wire would, and streams of text over links. */
import * as Option from 'fp-ts/lib/Option.js';
import type { Link, Stream } from '@stallstall/kernel';

/** What JSON would make of a value, without the text between; nobody shares what was sent. */
export function jsonCopy(value: unknown): unknown {
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map((item) => jsonCopy(item) ?? null);
  const result: Record<string, unknown> = {};
  for (const [name, inner] of Object.entries(value)) if (inner !== undefined && typeof inner !== 'function') result[name] = jsonCopy(inner);
  return result;
}

/** A stream carries text over a link, so that order, cuts and darkness hold for it as well. */
export function streamFromLink(link: Link): Stream {
  let closed = false;
  return {
    write: link.send,
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
  };
}
