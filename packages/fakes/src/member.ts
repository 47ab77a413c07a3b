/** A stand-in for a database member: transactions, replication with lag, STATE, promotion, a connection limit (design 10.1). */
import * as Either from 'fp-ts/lib/Either.js';
import {
  identifiers,
  runtimeUtilities,
  type HttpConnection,
  type HttpReply,
  type HttpRequest,
  type Runtime,
  type Listener,
} from '@stallstall/kernel';

/** A change that raises never lowers what stands when it commits. */
export type Change = Readonly<{ name: string; value: unknown; raises?: true }>;
export type Commit = Readonly<{ position: number; epoch: number; changes: readonly Change[] }>;

export type MemberSettings = Readonly<{
  member: string;
  service: string;
  address: string;
  /** Where other members and the platform reach it; connections here are not under the limit. */
  control: string;
  connectionLimit: number;
  nodes: readonly string[];
  runMilliseconds: number;
  replicateMilliseconds: number;
  /** The primary replies to a commit only when so many replicas have received it. */
  synchronous: number;
}>;

/** A statement as it arrived: what the checkers hold against the sheets of that moment. */
export type Ran = Readonly<{ at: number; connection: string; opens: boolean; readOnly: boolean; role: 'primary' | 'replica' }>;

/** What of a member outlives its process. */
export type MemberStore = {
  epoch: number;
  role: 'primary' | 'replica';
  primary: string;
  log: Commit[];
  applied: number;
  readonly ran: Ran[];
};

export type MemberKnobs = {
  /** Replies to commits that are done are not sent. */
  loseReplies: boolean;
  /** Commits that are done are answered by what a broken member or a box between would say. */
  garbles: boolean;
  /** Stops receiving from the primary. */
  deaf: boolean;
  /** Does not beat. */
  dark: boolean;
};

export type Member = Readonly<{
  stop: () => Promise<void>;
  store: MemberStore;
  knobs: MemberKnobs;
  peakConnections: () => number;
  connections: () => number;
  crossings: () => number;
}>;

type Transaction = { readonly changes: Change[] };
type ConnectionState = {
  values: Readonly<Record<string, unknown>>;
  shapes: Readonly<Record<string, string>>;
  transaction: Transaction | null;
};

type RunBody = Readonly<{
  readOnly: boolean;
  transaction: 'none' | 'begin' | 'within' | 'commit' | 'rollback';
  reset: boolean;
  values: Readonly<Record<string, unknown>>;
  shapes: Readonly<Record<string, string>>;
  statements: ReadonlyArray<Readonly<{ text: string; parameters: readonly unknown[] }>>;
}>;

const beatMilliseconds = 250;

function emptyStore(primary: boolean): MemberStore {
  return { epoch: 0, role: primary ? 'primary' : 'replica', primary: '', log: [], applied: 0, ran: [] };
}

async function start(runtime: Runtime, settings: MemberSettings, store: MemberStore): Promise<Member> {
  const rows = new Map<string, unknown>();
  const connections = new Map<string, ConnectionState>();
  const receivedBy = new Map<string, number>();
  const knobs: MemberKnobs = { loseReplies: false, garbles: false, deaf: false, dark: false };
  let peak = 0;
  let crossings = 0;
  let stopped = false;
  let upstream: HttpConnection | undefined;
  for (const commit of store.log) if (commit.position <= store.applied) applyRows(commit);

  function applyRows(commit: Commit): void {
    for (const change of commit.changes) rows.set(change.name, change.value);
  }

  function received(): number {
    return store.log.at(-1)?.position ?? 0;
  }

  function rebuild(): void {
    rows.clear();
    for (const commit of store.log) if (commit.position <= store.applied) applyRows(commit);
  }

  function rejectedWith(status: number, message: string): HttpReply {
    return { status, body: { message, position: store.applied } };
  }

  function connectionOf(request: HttpRequest): ConnectionState | undefined {
    let state = connections.get(request.connection);
    if (state === undefined) {
      if (connections.size >= settings.connectionLimit) {
        peak = Math.max(peak, connections.size + 1);
        return undefined;
      }
      state = { values: {}, shapes: {}, transaction: null };
      connections.set(request.connection, state);
      peak = Math.max(peak, connections.size);
    }
    return state;
  }

  function readRow(transaction: Transaction | null, name: string): unknown {
    const own = transaction?.changes.findLast((change) => change.name === name);
    return own === undefined ? rows.get(name) : own.value;
  }

  function execute(state: ConnectionState, text: string, parameters: readonly unknown[], changes: Change[], readOnly: boolean): unknown {
    const [verb, ...rest] = text.split(' ');
    const name = String(parameters[0] ?? rest[0] ?? '');
    if (verb === 'get') return readRow({ changes: [...(state.transaction?.changes ?? []), ...changes] }, name) ?? null;
    if (verb === 'value') return state.values[name] ?? null;
    if (verb === 'shape') {
      const shape = state.shapes[name];
      if (shape === undefined) throw new Error(`no prepared shape ${name} on this connection`);
      return execute(state, shape, parameters.slice(1), changes, readOnly);
    }
    if (verb === 'put' || verb === 'raise') {
      if (readOnly) throw new Error('a write under a read kind');
      const standing = readRow({ changes: [...(state.transaction?.changes ?? []), ...changes] }, name);
      // What the network held back for long must not undo what came after it.
      if (verb === 'raise' && typeof standing === 'number' && standing >= Number(parameters[1])) return false;
      changes.push({ name, value: parameters[1] ?? rest[1] ?? null, ...(verb === 'raise' ? { raises: true } : {}) });
      return true;
    }
    throw new Error(`unknown statement ${verb}`);
  }

  async function commit(changes: readonly Change[]): Promise<number> {
    const position = received() + 1;
    const kept = changes.filter((change) => !(change.raises === true && Number(rows.get(change.name) ?? -1) >= Number(change.value)));
    const done: Commit = { position, epoch: store.epoch, changes: kept };
    store.log.push(done);
    store.applied = position;
    applyRows(done);
    while (settings.synchronous > 0 && !stopped && store.role === 'primary') {
      const acknowledged = [...receivedBy.values()].filter((known) => known >= position).length;
      if (acknowledged >= settings.synchronous) break;
      await runtime.clock.sleep(5);
    }
    return position;
  }

  /** Each says nothing certain of the commit; none is a member's own denial. */
  function garbled(): HttpReply {
    const replies: readonly HttpReply[] = [
      { status: 500, body: { message: 'internal' } },
      { status: 502, body: '<html>bad gateway</html>' },
      { status: 503, body: null },
      { status: 504, body: { message: 'timeout' } },
      { status: 200, body: null },
      { status: 200, body: { results: [true, true, ''] } },
      { status: 200, body: { results: 'x', position: -1 } },
      { status: 404, body: {} },
    ];
    return replies[Math.floor(runtime.randomness.fraction() * replies.length)] as HttpReply;
  }

  async function run(request: HttpRequest): Promise<HttpReply> {
    const state = connectionOf(request);
    if (state === undefined) return rejectedWith(503, 'too many connections');
    const body = request.body as RunBody;
    store.ran.push({
      at: runtime.clock.now(),
      connection: request.connection,
      opens: body.transaction === 'none' || body.transaction === 'begin',
      readOnly: body.readOnly,
      role: store.role,
    });
    if (body.reset) {
      if (state.transaction !== null) crossings += 1;
      state.values = {};
      state.shapes = {};
      state.transaction = null;
    }
    state.values = body.values;
    state.shapes = body.shapes;
    if (!body.readOnly && store.role !== 'primary') return rejectedWith(503, 'this member is no primary');
    await runtime.clock.sleep(settings.runMilliseconds * (0.5 + runtime.randomness.fraction()));
    if (!body.readOnly && store.role !== 'primary') return rejectedWith(503, 'this member is no primary');
    const continues = body.transaction === 'within' || body.transaction === 'commit' || body.transaction === 'rollback';
    if (continues && state.transaction === null) return rejectedWith(409, 'no transaction on this connection');
    const changes: Change[] = [];
    const results: unknown[] = [];
    try {
      for (const one of body.statements) results.push(execute(state, one.text, one.parameters, changes, body.readOnly));
    } catch (error) {
      state.transaction = null;
      return rejectedWith(409, (error as Error).message);
    }
    let position = store.applied;
    if (body.transaction === 'begin') state.transaction = { changes };
    else if (body.transaction === 'within') (state.transaction as Transaction).changes.push(...changes);
    else if (body.transaction === 'rollback') state.transaction = null;
    else {
      const all = [...(state.transaction?.changes ?? []), ...changes];
      state.transaction = null;
      if (all.length > 0) {
        position = await commit(all);
        if (store.role !== 'primary' || knobs.loseReplies) return new Promise(() => undefined);
        if (knobs.garbles) return garbled();
      }
    }
    return { status: 200, body: { results, position } };
  }

  function stateReply(request: HttpRequest): HttpReply {
    if (connectionOf(request) === undefined) return rejectedWith(503, 'too many connections');
    return {
      status: 200,
      body: { member: settings.member, role: store.role, epoch: store.epoch, received: received(), applied: store.applied },
    };
  }

  // -- Replication: a replica pulls from its primary; a member that changes primaries copies the new one whole.

  async function pull(): Promise<void> {
    if (store.role !== 'replica' || store.primary === '' || knobs.deaf) return;
    upstream ??= runtime.network.connect(identifiers.address(store.primary));
    const following = store.primary;
    const reply = await upstream.exchange(
      { method: 'POST', path: '/replicate', body: { member: settings.member, epoch: store.epoch, from: received() } },
      800,
    );
    if (Either.isLeft(reply) || reply.right.status !== 200 || following !== store.primary || stopped) {
      upstream?.close();
      upstream = undefined;
      return;
    }
    const reported = reply.right.body as Readonly<{ epoch: number; whole: boolean; commits: readonly Commit[] }>;
    if (reported.whole) {
      store.log = [...reported.commits];
      store.applied = received();
      store.epoch = reported.epoch;
      rebuild();
    } else store.log.push(...reported.commits.filter((one) => one.position > received()));
    for (const one of store.log.slice(store.applied)) applyRows(one);
    store.applied = received();
  }

  async function replicate(request: HttpRequest): Promise<HttpReply> {
    const asked = request.body as Readonly<{ member: string; epoch: number; from: number }>;
    if (store.role !== 'primary') return rejectedWith(409, 'this member is no primary');
    const whole = asked.epoch !== store.epoch;
    if (!whole) receivedBy.set(asked.member, asked.from);
    return { status: 200, body: { epoch: store.epoch, whole, commits: whole ? store.log : store.log.slice(asked.from) } };
  }

  async function promote(request: HttpRequest): Promise<HttpReply> {
    const asked = request.body as Readonly<{ epoch: number }>;
    if (asked.epoch < store.epoch) return rejectedWith(409, 'an older epoch');
    store.epoch = asked.epoch;
    store.role = 'primary';
    store.primary = '';
    store.applied = received();
    rebuild();
    receivedBy.clear();
    return { status: 200, body: { epoch: store.epoch, position: received() } };
  }

  async function follow(request: HttpRequest): Promise<HttpReply> {
    const asked = request.body as Readonly<{ primary: string; epoch: number }>;
    if (asked.epoch < store.epoch || (asked.epoch === store.epoch && store.role === 'primary')) return rejectedWith(409, 'an older epoch');
    store.role = 'replica';
    if (store.primary !== asked.primary) {
      store.primary = asked.primary;
      upstream?.close();
      upstream = undefined;
    }
    return { status: 200, body: { following: true } };
  }

  const beaten = new Map<string, HttpConnection>();

  async function beatTo(address: string): Promise<void> {
    const held = beaten.get(address);
    const connection = held === undefined || held.closed() ? runtime.network.connect(identifiers.address(address)) : held;
    beaten.set(address, connection);
    await connection.exchange(
      {
        method: 'POST',
        path: `/v1/members/${settings.member}/beat`,
        body: { member: settings.member, role: store.role, epoch: store.epoch, received: received(), applied: store.applied },
      },
      beatMilliseconds,
    );
  }

  async function beat(): Promise<void> {
    if (knobs.dark) return;
    await Promise.all(settings.nodes.map((address) => beatTo(address)));
  }

  const listening: readonly Listener[] = [
    await runtime.network.serve(identifiers.address(settings.address), {
      routes: [
        {
          method: 'POST',
          path: '/open',
          handle: async (request) =>
            connectionOf(request) === undefined ? rejectedWith(503, 'too many connections') : { status: 200, body: { open: true } },
        },
        { method: 'POST', path: '/run', handle: run },
        { method: 'GET', path: '/state', handle: async (request) => stateReply(request) },
      ],
      connectionClosed: (connection) => void connections.delete(connection),
    }),
    await runtime.network.serve(identifiers.address(settings.control), {
      routes: [
        { method: 'POST', path: '/replicate', handle: replicate },
        { method: 'POST', path: '/promote', handle: promote },
        { method: 'POST', path: '/follow', handle: follow },
        {
          method: 'POST',
          path: '/knobs',
          handle: async function turn(request) {
            Object.assign(knobs, request.body);
            return { status: 200, body: knobs };
          },
        },
        {
          method: 'GET',
          path: '/names',
          handle: async function names() {
            const times: Record<string, number> = {};
            for (const commit of store.log) for (const change of commit.changes) times[change.name] = (times[change.name] ?? 0) + 1;
            return { status: 200, body: { role: store.role, epoch: store.epoch, times } };
          },
        },
        { method: 'GET', path: '/peak', handle: async () => ({ status: 200, body: { peak, crossings, limit: settings.connectionLimit } }) },
      ],
    }),
  ];
  void runtimeUtilities.every(runtime.clock, beatMilliseconds, beat, () => !stopped);
  void runtimeUtilities.every(runtime.clock, settings.replicateMilliseconds, pull, () => !stopped);

  return {
    store,
    knobs,
    peakConnections: () => peak,
    connections: () => connections.size,
    crossings: () => crossings,
    stop: async function stop() {
      stopped = true;
      upstream?.close();
      for (const connection of beaten.values()) connection.close();
      for (const entry of listening) await entry.stop();
    },
  };
}

export const member = { start, emptyStore } as const;
