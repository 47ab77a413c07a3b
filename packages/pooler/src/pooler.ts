// The proxy of the session wire: sessions in, statements placed, members' replies out; fed by its agent (design 8.10).
import * as Option from 'fp-ts/lib/Option.js';
import {
  identifiers,
  kernel as kernels,
  type HttpMapping,
  type Instant,
  type Kernel,
  type Listening,
  type Stream,
} from '@stallstall/kernel';
import { leastSpan } from '@stallstall/fence';
import { peer } from '@stallstall/peer';
import type { SheetDatabase } from '@stallstall/sheet';
import type { Command, Condition, Dialect, Incoming, MemberPlace, StatementReply } from '@stallstall/statement';
import { connections as connectionTables, type Share } from './connections.js';
import { copies as copyTables, type Copies } from './copies.js';
import { freshness as freshnessTables } from './freshness.js';
import { requests as requestTables, type Ask } from './requests.js';
import { sessions as sessionTables, type Session, type Transaction } from './sessions.js';
import { usage as usageTables } from './usage.js';
import { never, views, type View } from './view.js';

export type PoolerSettings = Readonly<{
  /** Where senders reach it, and where its readiness is asked. */
  address: string;
  outward: string;
  feed: string;
  /** How long a process that is to end is given; the first half of it for open transactions. */
  graceMilliseconds: number;
}>;

export type PoolerParts = Readonly<{
  dialect: Dialect;
  /** The pages that tell whether it is ready, in the platform's words. */
  pages: (ready: () => boolean) => readonly HttpMapping[];
}>;

export type Pooler = Readonly<{
  drain: () => Promise<void>;
  stop: () => Promise<void>;
  view: () => View;
  ready: () => boolean;
  totals: () => Readonly<Record<string, number>>;
  copied: () => ReturnType<Copies['describe']>;
}>;

const feedMilliseconds = 400;
/** While a leader is missing somewhere: news is worth more. */
const troubledMilliseconds = 100;
const feedCallMilliseconds = 1_200;
const feedPauseMilliseconds = 50;
const tendMilliseconds = 250;
/** What an edge has counted since it told last is lost with it. */
const tellMilliseconds = 300;
const mostTellMilliseconds = 1_000;
const tellEdgeMilliseconds = 20;
/** So often the log says where this process stands. */
const countsMilliseconds = 10_000;
/** A sender that opens before anything is known is held for so long: it gives up after two seconds. */
const openingMilliseconds = 1_800;
const openingLookMilliseconds = 25;
/** How long open transactions go on at a leader that is to let go. */
const handoverMilliseconds = 300;
/** Connections of each member kept free for the cores' own questions. */
const reservedConnections = 6;
const farConnections = 2;
/** Of what a member lets in this much is used, so that machines back from the dark find room beside the connections they had. */
const usedShare = 0.75;
/** Of a member's connections this part is shared alike, the rest by need. */
const evenPart = 0.25;
const demandWeight = 0.05;
/** Of its share an edge keeps this much when nobody asks: members count the connections of a machine that went dark for seconds more. */
const keptShare = 0.7;
/** After SIGTERM new sessions still arrive for a moment. */
const lameMilliseconds = 2_300;
/** One that was let in but says nothing is not waited for any longer. */
const silentMilliseconds = 400;
const restMilliseconds = 150;
const rollbackMilliseconds = 1_000;
const drainLookMilliseconds = 20;
const mostOpeningBytes = 16_384;

async function start(kernel: Kernel, settings: PoolerSettings, parts: PoolerParts): Promise<Pooler> {
  const { dialect } = parts;
  const agent = peer.dial(kernel, identifiers.address(settings.feed));
  const freshness = freshnessTables.create(kernel.clock.now);
  const usage = usageTables.create(kernel, agent);
  const sessions = new Map<Session, Stream>();
  /** Sessions that wait for a reply. */
  const asked = new Set<Session>();
  /** Since when nothing is asked of a session. */
  const restsSince = new Map<Session, Instant>();
  const released: Record<string, number> = {};
  /** Since when a service's epoch is to be let go. */
  const releasing = new Map<string, Instant>();
  const beganAt = kernel.clock.now();
  let demand = 0;
  let servedBefore = 0;
  let servedAt = beganAt;
  let view: View = views.empty;
  let token = '';
  let seen = 0;
  let serial = 0;
  let lastSession = 0;
  let ending = false;
  let endingSince: Instant = never;
  let stopped = false;

  const connections = connectionTables.create(kernel, dialect, share, () => requests.sweep());
  const copies = copyTables.create(
    kernel,
    () => view,
    (ask) => requests.ask(ask),
  );
  const requests = requestTables.create(kernel, dialect, () => view, connections, freshness, usage, copies);

  /** This edge's part of what a member lets in, of all edges that hold leases (design 8.3). */
  function share(place: MemberPlace): Share {
    const known = Option.isSome(view.sheet) ? view.sheet.value.services.find((one) => one.service === place.service) : undefined;
    const limit = Math.max(0, (known?.connectionLimit ?? 0) - reservedConnections) * usedShare;
    const whole = shareOf(place, limit);
    return { most: Math.max(1, Math.floor(whole)), kept: Math.max(1, Math.ceil(whole * keptShare)) };
  }

  function total(counts: Readonly<Record<string, number>>): number {
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
  }

  /** A part of a whole for each edge alike, the rest by what is asked of it. */
  function byNeed(limit: number, edges: number, asked: number): number {
    const own = asked > 0 ? Math.min(1, demand / asked) : 1 / edges;
    return limit * (evenPart / edges + (1 - evenPart) * own);
  }

  /** All edges need whoever leads; a replica is read in its own area, and from elsewhere only now and then. */
  function shareOf(place: MemberPlace, limit: number): number {
    const edges = Math.max(1, total(view.edges));
    if (view.leaders.get(place.service)?.primary === place.member) return byNeed(limit, edges, total(view.demand));
    const area = view.members.get(place.member)?.area ?? '';
    const near = view.edges[area] ?? 0;
    if (near === 0) return limit / edges;
    const far = Math.min(farConnections, limit / edges);
    return area === view.area ? byNeed(limit - far * (edges - near), near, view.demand[area] ?? 0) : far;
  }

  /** Smoothed over some seconds. */
  function noteDemand(): void {
    const served = requests.totals()['sent'] ?? 0;
    const now = kernel.clock.now();
    const rate = ((served - servedBefore) * 1_000) / Math.max(1, now - servedAt);
    demand += (rate - demand) * demandWeight;
    servedBefore = served;
    servedAt = now;
  }

  /** A session that opens will want its leader, or a member nearby, before long. */
  function warm(database: SheetDatabase, tenant: string): void {
    const leader = view.members.get(view.leaders.get(database.service)?.primary ?? '');
    if (leader !== undefined) connections.warm({ service: leader.service, member: leader.member, address: leader.address }, tenant);
    if (database.reads === 'leader') return;
    const near = (view.byService.get(database.service) ?? []).find((entry) => entry.area === view.area && !entry.draining && !entry.down);
    if (near !== undefined) connections.warm({ service: near.service, member: near.member, address: near.address }, tenant);
  }

  // -- Fed by the agent; leases are counted from this process's own send time (design 7.3).

  async function feed(hold: number): Promise<boolean> {
    const sentAt = kernel.clock.now();
    const reply = await agent.call(
      'placement',
      {
        token,
        seen,
        serial,
        hold,
        configuration: view.version,
        released: { ...released },
        positions: { ...freshness.commits() },
        marks: { ...freshness.marks() },
        notListening: [...connections.notListening()],
        demand,
        metrics: { ...requests.totals(), ...connections.describe(), sessions: sessions.size },
      },
      hold + feedCallMilliseconds,
    );
    if (Option.isNone(reply)) return false;
    const news = reply.value.token !== token || reply.value.number > seen;
    if (reply.value.token === token && reply.value.number < seen) return true;
    const led = leadersOf(view);
    const saidAt = identifiers.after(sentAt, leastSpan(reply.value.held));
    view = views.fed(view, reply.value, saidAt, kernel.clock.now());
    for (const [service, mark] of Object.entries(reply.value.marks))
      freshness.learnt(service, identifiers.after(saidAt, -mark.ago), { term: mark.term, number: mark.number });
    token = reply.value.token;
    seen = reply.value.number;
    serial = reply.value.serial;
    if (news) {
      copies.follow();
      noteReleases();
      if (led !== leadersOf(view)) for (const session of sessions.keys()) warmSession(session);
      connections.tend(view.members);
    }
    requests.sweep();
    return true;
  }

  function isTroubled(): boolean {
    const now = kernel.clock.now();
    return [...view.leaders.values()].some(
      (leader) =>
        leader.epoch > 0 && (leader.until <= now || view.members.get(leader.primary)?.down === true || connections.failing(leader.primary)),
    );
  }

  function leadersOf(of: View): string {
    return [...of.leaders.values()].map((leader) => `${leader.primary} ${leader.epoch}`).join(' ');
  }

  function warmSession(session: Session): void {
    const found = letIn(session.database, session.who);
    if (typeof found !== 'string') warm(found.database, found.tenant);
  }

  async function feedTask(): Promise<void> {
    while (!stopped) {
      const fed = agent.connected() && (await feed(isTroubled() ? troubledMilliseconds : feedMilliseconds));
      if (!fed) await kernel.clock.sleep(feedPauseMilliseconds);
    }
  }

  // -- Letting go of an epoch: nothing new, what is open ends, then the cores hear of it (design 7.12).

  function heldAt(service: string, below: number): readonly Transaction[] {
    return [...sessions.keys()].flatMap((session) => {
      if (Option.isNone(session.transaction) || Option.isNone(session.transaction.value.held)) return [];
      const { held, database } = session.transaction.value;
      return database.service === service && held.value.leader && held.value.epoch < below ? [session.transaction.value] : [];
    });
  }

  function noteReleases(): void {
    for (const [service, leader] of view.leaders) {
      if (leader.release > leader.epoch && leader.release > (released[service] ?? 0) && !releasing.has(service))
        releasing.set(service, kernel.clock.now());
    }
    lookAtReleases();
  }

  function lookAtReleases(): void {
    let told = false;
    for (const [service, since] of [...releasing]) {
      const release = view.leaders.get(service)?.release ?? 0;
      if (kernel.clock.now() - since >= handoverMilliseconds)
        for (const transaction of heldAt(service, release)) endTransaction(transaction);
      if (requests.underWay(service, release) > 0 || heldAt(service, release).length > 0) continue;
      releasing.delete(service);
      released[service] = release;
      told = true;
      kernel.log('lease.released', { service, below: release });
    }
    if (told) void feed(0);
    if (releasing.size > 0) kernel.clock.alarm(5, lookAtReleases);
  }

  /** Nothing of it can be kept: its connection is broken off. */
  function endTransaction(transaction: Transaction): void {
    if (transaction.busy) return;
    transaction.failed = true;
    if (Option.isNone(transaction.held)) return;
    const { pooled } = transaction.held.value;
    transaction.held = Option.none;
    connections.giveBack(pooled, false);
  }

  /** The sender asked for it: rolled back on the member, the connection stays of use. */
  async function rollback(transaction: Transaction): Promise<void> {
    transaction.failed = true;
    if (Option.isNone(transaction.held) || transaction.busy) return;
    const { pooled } = transaction.held.value;
    transaction.held = Option.none;
    const ran = await pooled.line.run([dialect.query(dialect.ownIdentifier, dialect.texts.rollback)], rollbackMilliseconds);
    connections.giveBack(pooled, ran.whole && ran.replies[0]?.stance === 'idle');
  }

  // -- One task for each sender's connection.

  function done(): StatementReply {
    return { rows: [], ending: { kind: 'done', stamp: '-' }, stance: 'idle', position: Option.none };
  }

  function fault(condition: Condition, text: string): StatementReply {
    return { rows: [], ending: { kind: 'fault', condition, text }, stance: 'idle', position: Option.none };
  }

  type LetIn = Readonly<{ database: SheetDatabase; tenant: string }>;

  function letIn(database: string, who: string): LetIn | Condition {
    const known = view.databases.get(database);
    if (known === undefined) return 'no-database';
    if (known.open) return { database: known, tenant: view.tenants.get(who)?.tenant ?? '-' };
    const tenant = view.tenants.get(who);
    return tenant === undefined ? 'denied' : { database: known, tenant: tenant.tenant };
  }

  function begin(session: Session, readOnly: boolean): StatementReply {
    const found = letIn(session.database, session.who);
    if (typeof found === 'string') return fault(found, 'not let in');
    const now = kernel.clock.now();
    session.transaction = Option.some({
      readOnly,
      database: found.database,
      tenant: found.tenant,
      startedAt: now,
      held: Option.none,
      failed: false,
      told: false,
      busy: false,
      restsSince: now,
    });
    return done();
  }

  async function run(session: Session, identifier: string, text: string, command: Command): Promise<StatementReply> {
    const { transaction } = session;
    const prepared = command.kind === 'execute' ? session.prepared.get(command.name) : undefined;
    if (command.kind === 'execute' && prepared === undefined) {
      if (Option.isSome(transaction)) {
        endTransaction(transaction.value);
        transaction.value.told = true;
      }
      return fault('undefined', 'no such prepared name');
    }
    const found = Option.isSome(transaction)
      ? { database: transaction.value.database, tenant: transaction.value.tenant }
      : letIn(session.database, session.who);
    if (typeof found === 'string') return fault(found, 'not let in');
    if (Option.isSome(transaction)) transaction.value.busy = true;
    const asked: Ask = {
      session,
      identifier,
      text,
      transaction,
      database: found.database,
      tenant: found.tenant,
      prepared: command.kind === 'execute' && prepared !== undefined ? Option.some({ shape: prepared, rest: command.rest }) : Option.none,
      writes: command.kind === 'write' || prepared?.writes === true,
      commit: command.kind === 'commit',
      copying: false,
    };
    const reply = await requests.ask(asked);
    copies.note(asked, reply);
    if (Option.isSome(transaction)) {
      transaction.value.busy = false;
      if (reply.ending.kind === 'fault') transaction.value.told = true;
      transaction.value.restsSince = kernel.clock.now();
      if (command.kind === 'commit') session.transaction = Option.none;
    }
    return reply;
  }

  async function handle(session: Session, incoming: Extract<Incoming, { kind: 'query' }>): Promise<StatementReply> {
    if (Option.isNone(incoming.command)) {
      if (Option.isSome(session.transaction)) {
        endTransaction(session.transaction.value);
        session.transaction.value.told = true;
      }
      return fault('malformed', 'it cannot be read');
    }
    const command = incoming.command.value;
    const { transaction } = session;
    if (Option.isSome(transaction) && transaction.value.failed) {
      if (command.kind !== 'rollback' && command.kind !== 'commit') {
        // One that was ended from here (it rested too long, its leader let go) is told of by the first statement after.
        if (transaction.value.told) return fault('malformed', 'the transaction has failed; end it');
        transaction.value.told = true;
        return fault('aborted', 'the transaction was ended and nothing of it is kept; begin it again');
      }
      session.transaction = Option.none;
      return command.kind === 'rollback' ? done() : fault('aborted', 'the transaction had failed; nothing of it is kept');
    }
    switch (command.kind) {
      case 'set':
        session.values.set(command.name, command.value);
        return done();
      case 'prepare':
        session.prepared.set(command.name, { writes: command.writes, shape: command.shape });
        return done();
      case 'forget':
        if (!session.prepared.delete(command.name)) return fault('undefined', 'no such prepared name');
        return done();
      case 'begin':
        return Option.isSome(transaction) ? fault('malformed', 'a transaction is open already') : begin(session, command.readOnly);
      case 'rollback':
        if (Option.isNone(transaction)) return fault('malformed', 'no transaction is open');
        session.transaction = Option.none;
        await rollback(transaction.value);
        return done();
      case 'commit':
        if (Option.isNone(transaction)) return fault('malformed', 'no transaction is open');
        return run(session, incoming.identifier, incoming.text, command);
      default:
        return run(session, incoming.identifier, incoming.text, command);
    }
  }

  /** Whoever opens before this edge knows anything is held back, not turned away. */
  async function awaitView(): Promise<void> {
    const horizon = identifiers.after(kernel.clock.now(), openingMilliseconds);
    while (!stopped && Option.isNone(view.sheet) && kernel.clock.now() < horizon) await kernel.clock.sleep(openingLookMilliseconds);
  }

  async function openSession(stream: Stream, incoming: Incoming): Promise<Session | undefined> {
    if (incoming.kind !== 'open') {
      if (incoming.kind !== 'close') stream.write(dialect.fault('malformed', 'a session begins with its opening'));
      return undefined;
    }
    await awaitView();
    const found = Option.isNone(view.sheet) ? ('saturated' as const) : letIn(incoming.database, incoming.who);
    if (typeof found === 'string') {
      stream.write(dialect.fault(found, found === 'saturated' ? 'nothing is known yet; come back in 500 ms' : 'not let in'));
      return undefined;
    }
    lastSession += 1;
    const session = sessionTables.create(`s${lastSession}`, incoming.database, incoming.who);
    sessions.set(session, stream);
    restsSince.set(session, kernel.clock.now());
    unopened.delete(stream);
    warm(found.database, found.tenant);
    stream.write(dialect.rest('idle', Option.none));
    return session;
  }

  /** Connections that have not opened a session yet, and since when. */
  const unopened = new Map<Stream, Instant>();

  async function sender(stream: Stream): Promise<void> {
    unopened.set(stream, kernel.clock.now());
    await serve(stream);
    unopened.delete(stream);
  }

  async function serve(stream: Stream): Promise<void> {
    const framer = dialect.framer(Option.isSome(view.sheet) ? view.sheet.value.bounds.messageBytes : mostOpeningBytes * 64);
    let session: Session | undefined;
    reading: for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) break;
      const { messages, oversize } = framer.push(piece.value);
      for (const message of messages) {
        const incoming = dialect.incoming(message);
        if (session === undefined) {
          session = await openSession(stream, incoming);
          if (session === undefined) break reading;
          continue;
        }
        if (incoming.kind === 'close') break reading;
        if (incoming.kind !== 'query') {
          stream.write(dialect.fault('malformed', 'it cannot be read'));
          break reading;
        }
        asked.add(session);
        const reply = await handle(session, incoming);
        asked.delete(session);
        restsSince.set(session, kernel.clock.now());
        stream.write(dialect.reply({ ...reply, stance: sessionTables.stance(session) }));
      }
      if (oversize) {
        stream.write(dialect.fault('oversize', 'the message is too long'));
        break;
      }
    }
    stream.close();
    if (session === undefined) return;
    sessions.delete(session);
    restsSince.delete(session);
    if (Option.isSome(session.transaction)) void rollback(session.transaction.value);
  }

  // -- What must be looked at from time to time.

  function tend(): void {
    noteDemand();
    const now = kernel.clock.now();
    connections.tend(view.members);
    const rest = Option.isSome(view.sheet) ? view.sheet.value.bounds.restMilliseconds : openingMilliseconds;
    for (const session of sessions.keys()) {
      if (Option.isNone(session.transaction)) continue;
      const transaction = session.transaction.value;
      if (!transaction.busy && Option.isSome(transaction.held) && now - transaction.restsSince >= rest) endTransaction(transaction);
      if (ending && now - endingSince >= settings.graceMilliseconds / 2 - 200) endTransaction(transaction);
    }
  }

  function ready(): boolean {
    if (ending || stopped || Option.isNone(view.sheet)) return false;
    const now = kernel.clock.now();
    return view.leaders.size > 0 && [...view.leaders.values()].some((leader) => leader.until > now);
  }

  const door = await kernel.network.listenStream(identifiers.address(settings.address), (stream) => void sender(stream));
  const listening: readonly Listening[] = [
    door,
    await kernel.network.serve(identifiers.address(settings.outward), { mappings: parts.pages(ready) }),
  ];
  void feedTask();
  void kernels.every(kernel.clock, tendMilliseconds, tend, () => !stopped);
  void kernels.every(
    kernel.clock,
    countsMilliseconds,
    () =>
      kernel.log('pooler.counts', {
        sessions: sessions.size,
        inFlight: requests.inFlight(),
        ...connections.describe(),
        ...requests.totals(),
      }),
    () => !stopped,
  );
  void tellTask();

  /** The more edges, the less is lost with one of them, and the more it costs all cores to hear of each. */
  async function tellTask(): Promise<void> {
    while (!stopped) {
      if (agent.connected()) await usage.tell();
      await kernel.clock.sleep(Math.min(mostTellMilliseconds, Math.max(tellMilliseconds, total(view.edges) * tellEdgeMilliseconds)));
    }
  }

  async function stop(): Promise<void> {
    stopped = true;
    copies.stop();
    connections.closeAll();
    agent.close();
    for (const stream of sessions.values()) stream.close();
    for (const entry of listening) await entry.stop();
  }

  /** Who has rested for a while is least likely to ask just now; right after a reply or a setting a sender is about to go on. */
  function letGo(rest: number): void {
    const now = kernel.clock.now();
    for (const [session, stream] of sessions) {
      if (Option.isNone(session.transaction) && !asked.has(session) && now - (restsSince.get(session) ?? now) >= rest) stream.close();
    }
    for (const [stream, since] of unopened) if (now - since > silentMilliseconds) stream.close();
  }

  /** Readiness fails first; what is asked is served; whoever rests is let go; open transactions have half of the grace (design 7.10). */
  async function drain(): Promise<void> {
    ending = true;
    endingSince = kernel.clock.now();
    const horizon = identifiers.after(endingSince, settings.graceMilliseconds - 500);
    let deaf = false;
    while (kernel.clock.now() < horizon) {
      // Nobody new from a while on, so that who is left can only become fewer.
      if (!deaf && kernel.clock.now() - endingSince >= lameMilliseconds) {
        deaf = true;
        door.deafen();
      }
      // Until then whoever is here is served: one that is let go would only come back.
      if (deaf) letGo(restMilliseconds);
      if (deaf && sessions.size + unopened.size === 0) break;
      await kernel.clock.sleep(drainLookMilliseconds);
    }
    await usage.tell();
    await stop();
  }

  return { drain, stop, view: () => view, ready, totals: requests.totals, copied: copies.describe };
}

export const pooler = { start } as const;
