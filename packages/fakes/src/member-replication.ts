/** Replication between stand-in members: a replica asks whoever leads, receives, and applies afterwards. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type HttpConnection, type HttpReply, type HttpRequest } from '@stallstall/kernel';
import { memberLogs, type TermEnds } from './member-log.js';
import type { MemberParts } from './member-parts.js';
import type { SessionCommit } from './session-member-types.js';

export type ReplicationParts = Pick<MemberParts, 'runtime' | 'settings' | 'store' | 'knobs' | 'log' | 'slots' | 'stopped'>;

export type MemberReplication = Readonly<{
  /** As a replica: asks the leader once, and receives what it replies. */
  pull: () => Promise<void>;
  /** As the leader: replies to a replica's question for the log, after a while when there is nothing new. */
  serveLog: (request: HttpRequest) => Promise<HttpReply>;
  /** Whoever waits for something new is replied to. */
  wake: () => void;
  /** How many replicas have received the log up to this number. */
  receivedBy: (number: number) => number;
  /** This member leads now: what replicas have received is not known any more. */
  forget: () => void;
  stop: () => void;
}>;

type LogQuestion = Readonly<{ member: string; number: number; ends: TermEnds }>;
type LogReply = Readonly<{ term: number; from: number; commits: readonly SessionCommit[] }>;
type Upstream = Readonly<{ address: string; connection: HttpConnection }>;

/** A question for the log is held for so long when there is nothing new. */
const holdMilliseconds = 300;
const callMilliseconds = 800;
const idlePauseMilliseconds = 10;
const failurePauseMilliseconds = 20;
/** Cutting back a log takes one slot for so long. */
const cutBackMilliseconds = 150;

/** Who waits for news of the log. */
type Updates = Readonly<{ wait: () => Promise<void>; wake: () => void }>;

function createUpdates({ runtime }: ReplicationParts): Updates {
  const waiting = new Set<() => void>();
  return {
    wait: () =>
      new Promise((resolve) => {
        waiting.add(resolve);
        runtime.clock.startTimer(holdMilliseconds, function late() {
          waiting.delete(resolve);
          resolve();
        });
      }),
    wake: function wake() {
      const resolvers = [...waiting];
      waiting.clear();
      for (const resolve of resolvers) resolve();
    },
  };
}

/** Takes in what the leader replied: what this log has beyond the common part is cut back. */
function receive({ settings, store, knobs, log, slots }: ReplicationParts, { term, from, commits }: LogReply): void {
  if (log.cutBack(from)) slots.occupy(cutBackMilliseconds);
  if (from > store.log.length) return;
  store.term = Math.max(store.term, term);
  for (const commit of commits) log.receive(commit, settings.applyMilliseconds + knobs.behindMilliseconds);
}

function create(parts: ReplicationParts): MemberReplication {
  const { runtime, settings, store, knobs, stopped } = parts;
  const receivedBy = new Map<string, number>();
  const updates = createUpdates(parts);
  let upstream: Option.Option<Upstream> = Option.none;

  /** The connection to a leader; one to another is closed. */
  function upstreamTo(address: string): Upstream {
    if (Option.isSome(upstream) && upstream.value.address !== address) {
      upstream.value.connection.close();
      upstream = Option.none;
    }
    if (Option.isSome(upstream) && !upstream.value.connection.closed()) return upstream.value;
    const opened = { address, connection: runtime.network.connect(identifiers.address(address)) };
    upstream = Option.some(opened);
    return opened;
  }

  async function pull(): Promise<void> {
    const leader = store.primary;
    if (store.role !== 'replica' || leader === '' || leader === settings.control || knobs.deaf) {
      await runtime.clock.sleep(idlePauseMilliseconds);
      return;
    }
    const { connection } = upstreamTo(leader);
    const { length } = store.log;
    const body: LogQuestion = { member: settings.member, number: length, ends: memberLogs.endsOf(store.log, length) };
    const reply = await connection.exchange({ method: 'POST', path: '/log', body }, callMilliseconds);
    if (Either.isLeft(reply) || reply.right.status !== 200) {
      connection.close();
      await runtime.clock.sleep(failurePauseMilliseconds);
      return;
    }
    if (stopped() || store.role !== 'replica' || store.primary !== leader || knobs.deaf) return;
    receive(parts, reply.right.body as LogReply);
  }

  async function serveLog(request: HttpRequest): Promise<HttpReply> {
    const asked = request.body as LogQuestion;
    if (store.role !== 'primary') return { status: 409, body: {} };
    const from = memberLogs.agreed(asked.ends, memberLogs.endsOf(store.log, store.log.length));
    if (from === asked.number) receivedBy.set(asked.member, asked.number);
    if (from === asked.number && store.log.length === from) await updates.wait();
    if (store.role !== 'primary') return { status: 409, body: {} };
    const body: LogReply = { term: store.term, from, commits: store.log.slice(from) };
    return { status: 200, body };
  }

  return {
    pull,
    serveLog,
    wake: updates.wake,
    receivedBy: (number) => [...receivedBy.values()].filter((received) => received >= number).length,
    forget: () => receivedBy.clear(),
    stop: function stop() {
      if (Option.isSome(upstream)) upstream.value.connection.close();
    },
  };
}

export const memberReplication = { create } as const;
