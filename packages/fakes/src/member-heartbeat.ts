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
/** A heartbeat that is delayed arrives so much later, at the most. */
const maximumDelayMilliseconds = 10_000;

type HeartbeatState = {
  readonly runtime: Runtime;
  readonly settings: SessionMemberSettings;
  readonly knobs: SessionMemberKnobs;
  readonly store: SessionMemberStore;
  /** Rises with each call and begins anew with each process. */
  sequence: number;
  isDraining: boolean;
  /** The core that the next call goes to. */
  core: number;
};

type Call = Readonly<{ path: string; body: Readonly<Record<string, unknown>> }>;

function nextHeartbeat(state: HeartbeatState): Call {
  const { settings, store } = state;
  const { service, address, area, slots } = settings;
  state.sequence += 1;
  return {
    path: 'beat',
    body: { service, address, area, draining: state.isDraining, role: store.role, slots, sequence: state.sequence },
  };
}

/** Sends a call to one core; true once the core has acknowledged it. */
async function exchange(runtime: Runtime, { settings }: HeartbeatState, core: number, { path, body }: Call): Promise<boolean> {
  const address = identifiers.address(settings.doors[core] as string);
  const request = { method: 'POST', path: `/members/${settings.member}/${path}`, body };
  const reply = await http.exchangeOnce(runtime, address, request, callMilliseconds);
  return Either.isRight(reply) && reply.right.status === 200;
}

/** Whether this call is delayed: it arrives later, also after the end of this process, and nobody waits for its answer. */
function isDelayed(state: HeartbeatState, call: Call): boolean {
  const { runtime, settings, knobs, core } = state;
  if (knobs.delayedHeartbeatShare === 0 || runtime.randomness.fraction() >= knobs.delayedHeartbeatShare) return false;
  const carrier = settings.carrier ?? runtime;
  const delayMilliseconds = runtime.randomness.fraction() * maximumDelayMilliseconds;
  carrier.clock.startTimer(delayMilliseconds, () => void exchange(carrier, state, core, call));
  return true;
}

/** Calls one core after the other until one acknowledges; each call of a heartbeat has a number of its own. */
async function callAnyCore(state: HeartbeatState, nextCall: () => Call): Promise<boolean> {
  const { runtime, settings } = state;
  for (let attempt = 0; attempt < settings.doors.length; attempt += 1) {
    const call = nextCall();
    if (isDelayed(state, call)) await runtime.clock.sleep(callMilliseconds);
    else if (await exchange(runtime, state, state.core, call)) return true;
    state.core = (state.core + 1) % settings.doors.length;
  }
  return false;
}

function create(runtime: Runtime, settings: SessionMemberSettings, store: SessionMemberStore, knobs: SessionMemberKnobs): MemberHeartbeat {
  const firstCore = Math.floor(runtime.randomness.fraction() * settings.doors.length);
  const state: HeartbeatState = { runtime, settings, knobs, store, sequence: 0, isDraining: false, core: firstCore };
  let drainingSince: Option.Option<Instant> = Option.none;

  async function send(): Promise<void> {
    if (knobs.silent) return;
    const saysDraining = state.isDraining;
    const isAcknowledged = await callAnyCore(state, () => nextHeartbeat(state));
    if (isAcknowledged && saysDraining && Option.isNone(drainingSince)) drainingSince = Option.some(runtime.clock.now());
  }

  return {
    send,
    drain: function drain() {
      state.isDraining = true;
    },
    drainingSince: () => drainingSince,
    leave: () => callAnyCore(state, () => ({ path: 'leave', body: {} })),
  };
}

export const memberHeartbeats = { create } as const;
