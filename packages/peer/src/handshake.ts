/** The first frame of each side of a link: the protocol versions it speaks (design 3.5). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime, Link, Protocols } from '@stallstall/kernel';
import { GreetSchema, message } from '@stallstall/message';

/** The result of a handshake. @internal */
export type HandshakeOutcome =
  | Readonly<{ kind: 'agreed'; version: number }>
  | Readonly<{ kind: 'incompatible'; reason: string }>
  /** The other side sent no greeting. */
  | Readonly<{ kind: 'silent' }>;

const handshakeTimeoutMilliseconds = 2_000;

/** The highest version that both sides support; 0 if there is none. */
function agreedVersion(own: Protocols, other: Protocols): number {
  const highest = Math.min(own.to, other.to);
  return highest >= Math.max(own.from, other.from) ? highest : 0;
}

function incompatibility(own: Protocols, other: Protocols): string {
  return `it supports protocol versions ${other.from} to ${other.to}, this process ${own.from} to ${own.to}; run versions of stallstall at most one step apart, upgrading one process at a time`;
}

/** Sends a greeting and waits for that of the other side; closes the link if none arrives in time. */
async function perform(runtime: Runtime, link: Link): Promise<HandshakeOutcome> {
  const timer = runtime.clock.startTimer(handshakeTimeoutMilliseconds, link.close);
  link.send({ greet: runtime.protocols });
  const frame = await link.receive();
  timer.cancel();
  if (Option.isNone(frame) || !message.matches(GreetSchema, frame.value)) return { kind: 'silent' };
  const { greet } = frame.value;
  const version = agreedVersion(runtime.protocols, greet);
  return version > 0 ? { kind: 'agreed', version } : { kind: 'incompatible', reason: incompatibility(runtime.protocols, greet) };
}

/** @internal */
export const handshake = { perform } as const;
