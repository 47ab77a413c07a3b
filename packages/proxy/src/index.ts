// The proxy: senders' statements in, verdicts looked up, members' replies out; fed by its agent (design 8).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  http,
  identifiers,
  kernel as kernels,
  type Fault,
  type HttpReply,
  type HttpRequest,
  type HttpMapping,
  type Instant,
  type Kernel,
} from '@stallstall/kernel';
import { message, type Reply, type ServiceFeed } from '@stallstall/message';
import { peer } from '@stallstall/peer';
import { sheets, statementKinds, type Sheet } from '@stallstall/sheet';
import { verdicts, type KnownService } from '@stallstall/verdict';
import { pools, type MemberWish } from '@stallstall/pool';
import { Type, type Static } from '@sinclair/typebox';
import { notes as noteTables } from './notes.js';
import { requests as requestTables, type Known } from './requests.js';
import { sessions as sessionTables, type Session } from './sessions.js';

export type ProxySettings = Readonly<{ address: string; feed: string }>;

export type Proxy = Readonly<{
  /** Fails readiness at once, takes work for a moment more, lets what is in flight end, then stops. */
  drain: () => Promise<void>;
  stop: () => Promise<void>;
  inFlight: () => number;
  known: () => Known;
  connections: () => ReadonlyArray<Readonly<{ member: string; idle: number; busy: number; opening: number; cap: number }>>;
}>;

const feedMilliseconds = 100;
const sweepMilliseconds = 25;
const defaultHorizonMilliseconds = 4_000;
/** A draining primary serves until another is elected, but no longer than this after the news (design 7.9). */
const handoverMilliseconds = 5_000;
/** How long an open transaction may go on through an edge that drains. */
const openMilliseconds = 5_500;
/** The platform goes on sending for a moment after readiness fails. */
const lameMilliseconds = 1_500;
export const graceMilliseconds = 6_000;

const StatementSchema = Type.Object({
  kind: Type.Union(statementKinds.map((kind) => Type.Literal(kind))),
  statements: Type.Array(
    Type.Object({ text: Type.String({ maxLength: 65_536 }), parameters: Type.Optional(Type.Array(Type.Unknown(), { maxItems: 1_000 })) }),
    { maxItems: 200 },
  ),
  transaction: Type.Optional(
    Type.Union([Type.Literal('none'), Type.Literal('begin'), Type.Literal('within'), Type.Literal('commit'), Type.Literal('rollback')]),
  ),
  atLeast: Type.Optional(Type.Integer({ minimum: 0 })),
  horizonMilliseconds: Type.Optional(Type.Integer({ minimum: 10, maximum: 60_000 })),
});
type StatementBody = Static<typeof StatementSchema>;
const ValueSchema = Type.Object({ value: Type.Union([Type.String({ maxLength: 4_096 }), Type.Number(), Type.Boolean()]) });
const ShapeSchema = Type.Object({ text: Type.String({ minLength: 1, maxLength: 65_536 }) });

const never = identifiers.instant(Number.NEGATIVE_INFINITY);

async function start(kernel: Kernel, settings: ProxySettings): Promise<Proxy> {
  let known: Known = {
    sheet: Option.none,
    version: 0,
    area: '',
    table: new Map(),
    controlUntil: never,
    fences: new Map(),
    draining: false,
    overdue: () => false,
  };
  let feed: Option.Option<Reply<'feed'>> = Option.none;
  let services: readonly KnownService[] = [];
  let drainingSince: Option.Option<Instant> = Option.none;
  let termSeen = false;
  let stopping = false;
  let stopped = false;
  const self = kernel.randomness.token();
  const pool = pools.create(kernel, () => requests.sweep());
  const sessions = sessionTables.create(kernel, pool);
  const agent = peer.dial(kernel, identifiers.address(settings.feed));
  const notes = noteTables.create(
    kernel,
    agent,
    self,
    (window) => requests.counts(window),
    () => requests.sweep(),
  );
  const requests = requestTables.create(kernel, () => known, pool, sessions, notes);

  // -- Fed by the agent: remaining terms are counted from this process's own send time (design 7.3).

  function later(left: Instant, right: Instant): Instant {
    return left > right ? left : right;
  }

  /** A term that was told stays true to its end, also when a restarted agent knows of none yet (design 3.4). */
  function fenceOf(service: KnownService, reply: Reply<'feed'>, sentAt: Instant): Readonly<{ epoch: number; until: Instant }> {
    const before = known.fences.get(service.service);
    const told = reply.services.find((one) => one.service === service.service && one.epoch === service.epoch);
    return {
      epoch: service.epoch,
      until: later(
        before?.epoch === service.epoch ? before.until : never,
        told === undefined ? never : identifiers.after(sentAt, told.fence),
      ),
    };
  }

  function serviceOf(told: ServiceFeed, sentAt: Instant): KnownService {
    const before = services.find((one) => one.service === told.service);
    if (before !== undefined && before.epoch > told.epoch) return before;
    return {
      service: told.service,
      epoch: told.epoch,
      primary: told.primary,
      overdue: isOverdue(told.primary),
      targets: told.targets.map((target) => ({
        member: target.member,
        alive: target.alive,
        applied: target.applied,
        follows: target.follows,
        freshAt: target.freshAgo < 0 ? never : identifiers.after(sentAt, -target.freshAgo),
      })),
    };
  }

  function takeFeed(reply: Reply<'feed'>, sentAt: Instant): void {
    const taken: Option.Option<Sheet> = reply.configuration === null ? known.sheet : Option.some(reply.configuration.sheet as Sheet);
    const changed = reply.configurationVersion !== known.version;
    // A restarted agent has not caught up yet: what it does not know takes nothing back, the terms told before run on.
    if (reply.configurationVersion < known.version || (changed && reply.configuration === null)) return;
    if (changed && Option.isSome(taken)) noteGoing(taken.value);
    services = reply.services.map((told) => serviceOf(told, sentAt));
    known = {
      sheet: taken,
      version: reply.configurationVersion,
      area: reply.area,
      table: Option.isSome(taken) ? verdicts.compile(taken.value, services, reply.area) : new Map(),
      controlUntil: later(known.controlUntil, identifiers.after(sentAt, reply.term)),
      fences: new Map(services.map((service) => [service.service, fenceOf(service, reply, sentAt)])),
      draining: known.draining,
      overdue: isGone,
    };
    // Without a term the agent has not caught up with the table: what it says of this edge is not yet so.
    const caughtUp = reply.term > 0;
    const first = !termSeen && caughtUp;
    termSeen ||= caughtUp;
    feed = Option.some(caughtUp || Option.isNone(feed) ? reply : { ...reply, draining: feed.value.draining });
    noteDraining(first);
    if (changed) cutWithdrawn();
    pool.wish(wishes());
    requests.sweep();
  }

  /** Members that are to go, draining or in no sheet any more, and since when this process has known. */
  const goingSince = new Map<string, Instant>();

  /** What the first sheet of this process says is no news to its edge: those members have had their time. */
  function noteGoing(sheet: Sheet): void {
    const first = Option.isNone(known.sheet);
    const named = [...(Option.isSome(known.sheet) ? known.sheet.value.services : []), ...sheet.services].flatMap((service) =>
      service.members.map((member) => member.member),
    );
    for (const member of named) {
      if (sheets.member(sheet, member)?.state === 'serving') goingSince.delete(member);
      else if (!goingSince.has(member)) goingSince.set(member, first ? never : kernel.clock.now());
    }
  }

  function isOverdue(member: string): boolean {
    const since = goingSince.get(member);
    return since !== undefined && kernel.clock.now() >= identifiers.after(since, handoverMilliseconds);
  }

  /** Not even an open transaction goes on, neither at a member that is overdue nor through an edge that is. */
  function isGone(member: string): boolean {
    return (
      isOverdue(member) || (Option.isSome(drainingSince) && kernel.clock.now() >= identifiers.after(drainingSince.value, openMilliseconds))
    );
  }

  function endOverdue(): void {
    for (const session of sessions.all()) {
      const pinned = session.pinned();
      if (Option.isSome(pinned) && isGone(pinned.value.choice.member)) sessions.endTransaction(session);
    }
  }

  function wishes(): readonly MemberWish[] {
    if (Option.isNone(known.sheet) || Option.isNone(feed)) return [];
    const shares = feed.value.shares;
    return known.sheet.value.services.flatMap((service) =>
      service.members.map((member) => ({
        service: service.service,
        member: member.member,
        address: member.address,
        epoch: known.fences.get(service.service)?.epoch ?? 0,
        cap: shares[service.service] ?? 0,
      })),
    );
  }

  /** A withdrawn key ends its sessions, and with them any transaction under it (design 6.4). */
  function cutWithdrawn(): void {
    for (const session of sessions.all()) if (!mayHold(session.key, session.service)) sessions.close(session);
  }

  function mayHold(key: string, service: string): boolean {
    if (Option.isNone(known.sheet)) return false;
    const sheet = known.sheet.value;
    return statementKinds.some((kind) => sheets.allows(sheet, key, service, kind));
  }

  function counted(): Readonly<Record<string, number>> {
    return { ...requests.totals(), ...notes.totals(), inFlight: requests.inFlight(), sessions: sessions.all().length };
  }

  async function askFeed(): Promise<void> {
    const sentAt = kernel.clock.now();
    const reply = await agent.call(
      'feed',
      {
        configuration: known.version,
        open: { ...pool.open() },
        metrics: { ...counted() },
      },
      800,
    );
    if (Option.isSome(reply)) takeFeed(reply.value, sentAt);
  }

  /** `known.draining` denies new work; it follows the asking for a drain by the lame moment, unless that was no news to the edge. */
  function noteDraining(first = false): void {
    const asked = stopping || (Option.isSome(feed) && feed.value.draining);
    if (!asked) drainingSince = Option.none;
    else if (Option.isNone(drainingSince)) drainingSince = Option.some(first ? never : kernel.clock.now());
    const since = drainingSince;
    known = { ...known, draining: Option.isSome(since) && kernel.clock.now() >= identifiers.after(since.value, lameMilliseconds) };
  }

  function ready(): boolean {
    return Option.isNone(drainingSince) && known.controlUntil > kernel.clock.now() && Option.isSome(known.sheet);
  }

  // -- The senders' side.

  function keyOf(request: HttpRequest): string {
    return request.headers['x-stallstall-key'] ?? '';
  }

  function sessionFor(request: HttpRequest, id: string): Either.Either<Fault, Session> {
    const session = sessions.find(id);
    if (Option.isNone(session) || session.value.key !== keyOf(request)) {
      return Either.left(
        fault.create({ kind: 'session-lost', message: 'this edge holds no such session for this key', remedy: 'open another session' }),
      );
    }
    session.value.touch();
    return Either.right(session.value);
  }

  async function statement(request: HttpRequest): Promise<HttpReply> {
    if (!message.fits(StatementSchema, request.body)) {
      return http.denied(
        fault.create({
          kind: 'bad-request',
          message: 'a statement is {kind, statements: [{text, parameters}], transaction?, atLeast?, horizonMilliseconds?}',
          remedy: `kind is one of ${statementKinds.join(', ')}; see docs/operations.md`,
        }),
      );
    }
    const body = request.body as StatementBody;
    const service = request.query['service'] ?? '';
    const named = Option.fromNullable(request.headers['x-stallstall-session']);
    const transaction = body.transaction ?? 'none';
    if (Option.isSome(named)) {
      const session = sessionFor(request, named.value);
      if (Either.isLeft(session)) return http.denied(session.left);
      if (session.right.service !== service) {
        return http.denied(
          fault.create({
            kind: 'bad-request',
            message: `this session is of ${session.right.service}`,
            remedy: 'open a session for each service',
          }),
        );
      }
      if ((transaction === 'none' || transaction === 'begin') && Option.isSome(session.right.pinned())) {
        return http.denied(
          fault.create({
            kind: 'bad-request',
            message: 'a transaction is open in this session',
            remedy: 'send transaction "within", "commit" or "rollback"',
          }),
        );
      }
    } else if (transaction !== 'none') {
      return http.denied(
        fault.create({
          kind: 'bad-request',
          message: 'a transaction needs a session',
          remedy: 'open one and name it in x-stallstall-session',
        }),
      );
    }
    const outcome = await requests.ask({
      service,
      kind: body.kind as never,
      key: keyOf(request),
      transaction,
      session: named,
      atLeast: body.atLeast ?? 0,
      statements: body.statements.map((one) => ({ text: one.text, parameters: one.parameters ?? [] })),
      horizonMilliseconds: body.horizonMilliseconds ?? defaultHorizonMilliseconds,
    });
    return http.replied(outcome);
  }

  /** A statement that the sheet names: the sender gives its parameters alone (design 8.7). */
  async function mapped(request: HttpRequest): Promise<HttpReply> {
    const named = request.query['mapping'] ?? '';
    const mapping = Option.isSome(known.sheet) ? sheets.mapping(known.sheet.value, named) : undefined;
    if (mapping === undefined)
      return http.denied(fault.create({ kind: 'not-found', message: `no sheet names a mapping ${named}`, remedy: 'check the name' }));
    const { parameters, ...rest } = (typeof request.body === 'object' && request.body !== null ? request.body : {}) as Readonly<
      Record<string, unknown>
    >;
    return statement({
      ...request,
      query: { ...request.query, service: mapping.service },
      body: { ...rest, kind: mapping.kind, statements: [{ text: mapping.text, ...(parameters === undefined ? {} : { parameters }) }] },
    });
  }

  async function openSession(request: HttpRequest): Promise<HttpReply> {
    const service = request.query['service'] ?? '';
    if (known.controlUntil <= kernel.clock.now()) {
      return http.denied(
        fault.create({
          kind: 'stale-configuration',
          message: 'this edge has not heard from a majority of cores within its term',
          remedy: 'try another edge',
          retryAfterSeconds: 1,
        }),
      );
    }
    if (known.draining)
      return http.denied(
        fault.create({ kind: 'draining', message: 'this edge is draining', remedy: 'send it to another edge', retryAfterSeconds: 1 }),
      );
    if (!mayHold(keyOf(request), service)) {
      return http.denied(
        fault.create({
          kind: 'key-denied',
          message: `this key may not open a session on ${service}`,
          remedy: 'ask the operators for a key that may',
        }),
      );
    }
    return { status: 201, body: { session: sessions.open(keyOf(request), service).id } };
  }

  async function closeSession(request: HttpRequest): Promise<HttpReply> {
    const session = sessionFor(request, request.query['session'] ?? '');
    if (Either.isRight(session)) sessions.close(session.right);
    return http.replied(Either.map(() => ({ closed: true }))(session));
  }

  async function setValue(request: HttpRequest): Promise<HttpReply> {
    const session = sessionFor(request, request.query['session'] ?? '');
    if (Either.isLeft(session)) return http.denied(session.left);
    if (!message.fits(ValueSchema, request.body)) {
      return http.denied(
        fault.create({ kind: 'bad-request', message: 'a session value is {"value": text, number or truth}', remedy: 'send that shape' }),
      );
    }
    session.right.setValue(request.query['name'] ?? '', request.body.value);
    return { status: 200, body: { set: true } };
  }

  async function setShape(request: HttpRequest): Promise<HttpReply> {
    const session = sessionFor(request, request.query['session'] ?? '');
    if (Either.isLeft(session)) return http.denied(session.left);
    if (!message.fits(ShapeSchema, request.body)) {
      return http.denied(fault.create({ kind: 'bad-request', message: 'a prepared shape is {"text": "..."}', remedy: 'send that shape' }));
    }
    session.right.setShape(request.query['name'] ?? '', request.body.text);
    return { status: 200, body: { prepared: true } };
  }

  const mappings: readonly HttpMapping[] = [
    { method: 'POST', path: '/v1/services/:service/statements', handle: statement },
    { method: 'POST', path: '/v1/mappings/:mapping', handle: mapped },
    { method: 'POST', path: '/v1/services/:service/sessions', handle: openSession },
    { method: 'DELETE', path: '/v1/sessions/:session', handle: closeSession },
    { method: 'PUT', path: '/v1/sessions/:session/values/:name', handle: setValue },
    { method: 'PUT', path: '/v1/sessions/:session/shapes/:name', handle: setShape },
    { method: 'GET', path: '/live', handle: async () => ({ status: 200, body: { live: true } }) },
    {
      method: 'GET',
      path: '/ready',
      handle: async () => ({ status: ready() ? 200 : 503, body: { ready: ready(), configuration: known.version } }),
    },
    {
      method: 'GET',
      path: '/v1/state',
      handle: async () => ({
        status: 200,
        body: { configuration: known.version, inFlight: requests.inFlight(), connections: pool.describe(), totals: counted() },
      }),
    },
  ];

  // -- Who is connected: a planned end waits until each has been turned away (design 7.10).

  const connected = new Set<string>();

  function noted(mapping: HttpMapping): HttpMapping {
    return {
      ...mapping,
      handle: async function handle(request) {
        connected.add(request.connection);
        const reply = await mapping.handle(request);
        return known.draining ? { ...reply, headers: { ...reply.headers, connection: 'close' } } : reply;
      },
    };
  }

  const listening = await kernel.network.serve(identifiers.address(settings.address), {
    mappings: mappings.map(noted),
    connectionClosed: (connection) => void connected.delete(connection),
  });

  function tick(): void {
    noteDraining();
    endOverdue();
    sessions.expire();
    notes.tick();
    requests.sweep();
  }

  void kernels.every(kernel.clock, feedMilliseconds, askFeed, () => !stopped);
  void kernels.every(kernel.clock, sweepMilliseconds, tick, () => !stopped);

  async function stop(): Promise<void> {
    stopped = true;
    agent.close();
    await listening.stop();
    pool.closeAll();
  }

  async function drain(): Promise<void> {
    stopping = true;
    noteDraining();
    const horizon = identifiers.after(kernel.clock.now(), graceMilliseconds);
    await kernel.clock.sleep(lameMilliseconds);
    while (
      kernel.clock.now() < horizon &&
      (connected.size > 0 || requests.inFlight() > 0 || sessions.all().some((session) => Option.isSome(session.pinned())))
    ) {
      await kernel.clock.sleep(sweepMilliseconds);
    }
    await notes.flush();
    await stop();
  }

  return { drain, stop, inFlight: requests.inFlight, known: () => known, connections: pool.describe };
}

export const proxy = { start } as const;
export type { Known } from './requests.js';
