/** A stand-in for a database member that speaks the session wire: slots, transactions, a log with terms, late replicas, promotion (design 10.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, runtimeUtilities, type Runtime, type Listener } from '@stallstall/kernel';
import { memberHeartbeats } from './member-heartbeat.js';
import { memberLogs } from './member-log.js';
import type { MemberParts } from './member-parts.js';
import { memberReplication, type MemberReplication } from './member-replication.js';
import { memberSlots } from './member-slots.js';
import { sessionConnections, type SessionConnections } from './session-connections.js';
import type { SessionMember, SessionMemberKnobs, SessionMemberSettings, SessionMemberStore, SessionRun } from './session-member-types.js';

export type * from './session-member-types.js';

const heartbeatMilliseconds = 500;
const pullMilliseconds = 0.5;
const drainLookMilliseconds = 20;

const calmKnobs: SessionMemberKnobs = {
  deaf: false,
  behindMilliseconds: 0,
  loseReplies: 0,
  loseCommits: 0,
  silent: false,
  delayedHeartbeatShare: 0,
  drainSpareMilliseconds: 1_000,
};

function emptyStore(): SessionMemberStore {
  return { term: 0, role: 'replica', primary: '', log: [] };
}

/** Whoever led until now goes on replying to plain reads, from the log it has. False when it was told so before, or of a newer term. */
function follow(store: SessionMemberStore, term: number, primary: string): boolean {
  if (term < store.term || (term === store.term && store.primary === primary)) return false;
  store.term = term;
  store.role = 'replica';
  store.primary = primary;
  return true;
}

function assemble(
  runtime: Runtime,
  settings: SessionMemberSettings,
  store: SessionMemberStore,
  onRun: (run: SessionRun) => void,
  stopped: () => boolean,
) {
  const knobs: SessionMemberKnobs = { ...calmKnobs };
  const log = memberLogs.create(runtime, store);
  const slots = memberSlots.create(runtime.clock, settings.slots);
  const replication = memberReplication.create({ runtime, settings, store, knobs, log, slots, stopped });
  const heartbeat = memberHeartbeats.create(runtime, settings, store, knobs);
  const parts: MemberParts = {
    runtime,
    settings,
    store,
    knobs,
    log,
    slots,
    onCommit: replication.wake,
    receivedBy: replication.receivedBy,
    onRun,
    stopped,
  };
  return { knobs, log, replication, heartbeat, connections: sessionConnections.create(parts) };
}

async function listen(
  runtime: Runtime,
  settings: SessionMemberSettings,
  connections: SessionConnections,
  replication: MemberReplication,
): Promise<readonly Listener[]> {
  return [
    await runtime.network.listenStream(identifiers.address(settings.address), (stream) => void connections.serve(stream)),
    await runtime.network.serve(identifiers.address(settings.control), {
      routes: [{ method: 'POST', path: '/log', handle: replication.serveLog }],
    }),
  ];
}

/** Starts a member over a store that outlives it. */
async function start(
  runtime: Runtime,
  settings: SessionMemberSettings,
  store: SessionMemberStore,
  onRun: (run: SessionRun) => void,
): Promise<SessionMember> {
  let stopped = false;
  const { knobs, log, replication, heartbeat, connections } = assemble(runtime, settings, store, onRun, () => stopped);

  /** Takes the lead of the next term with all that it had received and nothing beyond. */
  function lead(term: number): void {
    store.term = term;
    store.role = 'primary';
    store.primary = settings.control;
    log.applyAll();
    replication.forget();
    replication.wake();
  }

  const listening = await listen(runtime, settings, connections, replication);
  void runtimeUtilities.every(runtime.clock, heartbeatMilliseconds, heartbeat.send, () => !stopped);
  void runtimeUtilities.every(runtime.clock, pullMilliseconds, replication.pull, () => !stopped);

  async function stop(): Promise<void> {
    stopped = true;
    replication.stop();
    for (const entry of listening) await entry.stop();
  }

  async function drain(): Promise<void> {
    heartbeat.drain();
    const deadline = runtime.clock.now() + 2 * settings.drainMilliseconds;
    void heartbeat.send();
    while (!stopped && Option.isNone(heartbeat.drainingSince()) && runtime.clock.now() < deadline)
      await runtime.clock.sleep(drainLookMilliseconds);
    await runtime.clock.sleep(settings.drainMilliseconds + knobs.drainSpareMilliseconds);
    if (stopped) return;
    await heartbeat.leave();
    await stop();
  }

  return {
    stop,
    drain,
    knobs,
    store,
    lead,
    follow: function followLeader(term, primary) {
      if (follow(store, term, primary)) replication.wake();
    },
    connections: connections.count,
    peak: connections.peak,
    transactions: connections.transactions,
    applied: log.applied,
    drainingSince: heartbeat.drainingSince,
  };
}

export const sessionMember = { start, emptyStore, follow, calmKnobs } as const;
