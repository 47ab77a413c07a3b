/** Heartbeats of a stand-in member: to one core, and to another when that one fails. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers, type Instant, type Runtime } from '@stallstall/kernel';
import type { SessionMemberKnobs, SessionMemberSettings, SessionMemberStore } from './session-member-types.js';

export type MemberHeartbeat = Readonly<{
  send: () => Promise<void>;
  /** From now on heartbeats say that the member drains. */
  drain: () => void;
  /** When a core acknowledged that it drains. */
  drainingSince: () => Option.Option<Instant>;
  /** Says that the member has left. */
  leave: () => Promise<boolean>;
}>;

const callMilliseconds = 400;

function create(runtime: Runtime, settings: SessionMemberSettings, store: SessionMemberStore, knobs: SessionMemberKnobs): MemberHeartbeat {
  const { doors: cores } = settings;
  let sequence = Math.floor(runtime.clock.now());
  let draining = false;
  let drainingSince: Option.Option<Instant> = Option.none;
  let core = Math.floor(runtime.randomness.fraction() * cores.length);

  async function call(path: string, body: unknown): Promise<boolean> {
    for (let attempt = 0; attempt < cores.length; attempt += 1) {
      const address = identifiers.address(cores[core] as string);
      const request = { method: 'POST', path: `/members/${settings.member}/${path}`, body };
      const reply = await http.exchangeOnce(runtime, address, request, callMilliseconds);
      if (Either.isRight(reply) && reply.right.status === 200) return true;
      core = (core + 1) % cores.length;
    }
    return false;
  }

  async function send(): Promise<void> {
    if (knobs.silent) return;
    sequence += 1;
    const accepted = await call('beat', {
      service: settings.service,
      address: settings.address,
      area: settings.area,
      draining,
      role: store.role,
      slots: settings.slots,
      sequence,
    });
    if (accepted && draining && Option.isNone(drainingSince)) drainingSince = Option.some(runtime.clock.now());
  }

  return {
    send,
    drain: function drain() {
      draining = true;
    },
    drainingSince: () => drainingSince,
    leave: () => call('leave', {}),
  };
}

export const memberHeartbeats = { create } as const;
