// The administration API: pages for operators of many teams, on every core (design 9.2, 9.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute, type Kernel } from '@stallstall/kernel';
import { message, type Entry, type Membership } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import { durableReportsService, registerService, usageWindowMilliseconds } from '@stallstall/register';
import { electionService, livenessService, acceptedLossKey } from '@stallstall/election';
import type { Node } from '@stallstall/node';
import { placements } from '@stallstall/placement';
import { configurationUpdates as ordersOf, type ConfigurationUpdates } from './configuration-updates.js';
import { operators, ScopeSchema, type Caller, type Scope } from './operators.js';
import type { UsageReporting } from './usage-reporting.js';
import type { VersionStore } from './version-store.js';
import { configurationVersions as versionsOf } from './configuration-versions.js';

/** The health page speaks up before a core's disk is full of sheets. */
const diskBytesMost = 128 * 1024 * 1024;
const pageLength = 100;
const pageMost = 500;
const usageLateMilliseconds = 10_000;

const SendSchema = Type.Object({
  sheet: Type.Unknown(),
  sentBy: Type.Optional(Type.String({ maxLength: 200 })),
  sendId: Type.Optional(Type.String({ maxLength: 200 })),
});

export type AdministrationParts = Readonly<{
  node: Node;
  usage: UsageReporting;
  rootKey: string | undefined;
  ready: () => boolean;
  diskBytes: () => number;
  /** Why this core's disk does not sync now; none while it does. */
  diskTrouble: () => Option.Option<Fault>;
  versions: VersionStore;
  versionOf: (key: string) => number;
  /** What this core's own disk holds, chosen or not. */
  accepted: (key: string) => Option.Option<Entry>;
  changeMembership: (next: (table: Membership) => Membership) => Promise<Either.Either<Fault, Membership>>;
  /** What each node that holds a link to this core has acknowledged to obey. */
  obeyed: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<Record<string, number>>;
}>;

export type Administration = Readonly<{
  routes: readonly HttpRoute[];
  replaceExternal: ConfigurationUpdates['replaceExternal'];
  source: () => Promise<Either.Either<Fault, string>>;
}>;

type Need = 'read' | 'sheet' | 'nodes' | 'operators';

/** One page of a listing: `limit` rows after the row whose place is `after`; `next` is missing on the last. */
function page(rows: readonly unknown[], request: HttpRequest): Readonly<{ rows: readonly unknown[]; total: number; next?: number }> {
  const limit = Math.min(pageMost, Math.max(1, Math.floor(Number(request.query['limit'] ?? pageLength)) || pageLength));
  const after = Math.max(0, Math.floor(Number(request.query['after'] ?? 0)) || 0);
  const shown = rows.slice(after, after + limit);
  return { rows: shown, total: rows.length, ...(after + shown.length < rows.length ? { next: after + shown.length } : {}) };
}

function create(kernel: Kernel, parts: AdministrationParts): Administration {
  const { node, usage } = parts;
  const register = kernel.services.find(registerService);
  const notes = kernel.services.find(durableReportsService);
  const members = kernel.services.find(livenessService);
  const elections = kernel.services.find(electionService);
  const table = operators.create(kernel, parts.rootKey);
  const versions = versionsOf.create(register, parts.versions);
  const orders = ordersOf.create(kernel, { register, versions, accepted: () => parts.accepted('configuration') });

  function has(scope: Scope, need: Need): boolean {
    return need === 'read' || need === 'sheet' || (need === 'nodes' ? scope.nodes : scope.operators);
  }

  /** A page that only who may is let in to; what a sheet changes is checked where it is taken. */
  function guarded(need: Need, handle: (request: HttpRequest, caller: Caller) => Promise<HttpReply>): HttpRoute['handle'] {
    return async function guardedPage(request) {
      const caller = await table.caller(request);
      if (Either.isLeft(caller)) return http.rejected(caller.left);
      if (!has(caller.right.scope, need)) return http.rejected(operators.denied(`${caller.right.operator} may not do this`));
      return handle(request, caller.right);
    };
  }

  // -- The administration API (design 9.2).

  async function sendSheet(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const body = request.body;
    if (!message.matches(SendSchema, body)) {
      return http.rejected(
        fault.create({
          kind: 'bad-request',
          message: 'a sheet is sent as {"sheet": {...}, "sentBy": "..."}',
          remedy: 'send that shape, or use stallstall sheet send',
        }),
      );
    }
    const checked = placements.check(body.sheet);
    if (Either.isLeft(checked)) return http.rejected(checked.left);
    const expected = request.headers['if-match'];
    if (expected !== undefined && !/^"?\d+"?$/.test(expected)) {
      return http.rejected(
        fault.create({ kind: 'bad-request', message: 'If-Match names no version', remedy: 'give a version number, as in If-Match: 7' }),
      );
    }
    const sentBy = caller.operator === 'anyone' ? (body.sentBy ?? 'unnamed') : caller.operator;
    const taken = await orders.replace({
      caller,
      sheet: checked.right,
      document: body.sheet,
      sendId: body.sendId ?? kernel.randomness.token(),
      named: body.sendId !== undefined,
      sentBy,
      expected: Option.map((given: string) => Number(given.replaceAll('"', '')))(Option.fromNullable(expected)),
    });
    if (Either.isLeft(taken)) return http.rejected(taken.left);
    const { version } = taken.right;
    await table.note(sentBy, 'sheet', `version ${version}`);
    return { status: 200, headers: { etag: `"${version}"` }, body: { version } };
  }

  async function source(): Promise<Either.Either<Fault, string>> {
    const read = await versions.current();
    if (Either.isLeft(read)) return read;
    const external = Option.isSome(read.right) ? read.right.value.value.external : undefined;
    return external === undefined
      ? Either.left(fault.create({ kind: 'not-found', message: 'no configuration has been sent yet', remedy: 'send one' }))
      : Either.right(external.source);
  }

  async function getSheet(request: HttpRequest): Promise<HttpReply> {
    const read = await versions.current();
    if (Either.isLeft(read)) return http.rejected(read.left);
    if (Option.isNone(read.right)) {
      return http.rejected(
        fault.create({ kind: 'not-found', message: 'no sheet has been sent yet', remedy: 'send one with stallstall sheet send' }),
      );
    }
    const { version, value } = read.right.value;
    const wanted = request.query['version'] === undefined ? version : Number(request.query['version']);
    const found = await versions.at(wanted, { version, value });
    if (Either.isLeft(found)) return http.rejected(found.left);
    if (Option.isNone(found.right)) {
      return http.rejected(
        fault.create({
          kind: wanted > version || !Number.isInteger(wanted) || wanted < 1 ? 'not-found' : 'version-forgotten',
          message: `version ${request.query['version']} is not kept`,
          remedy: `ask for ${versions.oldest(version)} to ${version}`,
        }),
      );
    }
    const { sheet, sentBy, sentAt } = found.right.value;
    return {
      status: 200,
      headers: { etag: `"${wanted}"` },
      body: { version: wanted, sheet, sentBy, sentAt, oldest: versions.oldest(version), latest: version },
    };
  }

  /** The nodes heard within a term, this one among them. */
  function reachable(): readonly string[] {
    return node
      .membership()
      .value.seats.map((seat) => seat.node)
      .filter((named) => {
        const heard = node.lastHeartbeatAt(named);
        return named === node.settings.node || (Option.isSome(heard) && kernel.clock.now() - heard.value < 2_000);
      });
  }

  function fleetStatus(): Readonly<Record<string, unknown>> {
    const membership = node.membership();
    const configuration = node.configuration();
    const now = kernel.clock.now();
    const obeying = parts.obeyed();
    return {
      core: node.settings.node,
      fleet: node.fleet(),
      open: parts.ready(),
      configuration: parts.versionOf('configuration'),
      membership: membership.version,
      size: membership.value.seats.length,
      quorum: quorum.majority(membership.value.seats.length),
      heard: reachable().length,
      spare: reachable().length - quorum.majority(membership.value.seats.length),
      nodes: membership.value.seats.map(function describe(seat) {
        const heard = node.lastHeartbeatAt(seat.node);
        const acknowledged = obeying.get(seat.node);
        return {
          node: seat.node,
          role: seat.role,
          area: seat.area,
          address: seat.address,
          outward: seat.outward,
          draining: seat.draining,
          heardMilliseconds: seat.node === node.settings.node ? 0 : Option.isSome(heard) ? Math.round(now - heard.value) : -1,
          protocol:
            seat.node === node.settings.node
              ? kernel.protocols.to
              : Option.getOrElse(() => 0)(Option.map((held: Peer) => held.protocol())(node.peerOf(seat.node))),
          obeys: seat.node === node.settings.node ? (Option.isSome(configuration) ? configuration.value.version : 0) : (acknowledged ?? -1),
        };
      }),
    };
  }

  function memberStatus(): readonly Readonly<Record<string, unknown>>[] {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return [];
    return configuration.value.value.sheet.services.flatMap((service) =>
      service.members.map(function describe(member) {
        const settled = node.electedPrimary(service.service);
        const state = members.state(member.member);
        const heard = members.lastHeartbeatAt(member.member);
        return {
          service: service.service,
          member: member.member,
          area: member.area,
          address: member.address,
          state: member.state,
          alive: members.isAlive(member.member),
          heardMilliseconds: Option.isSome(heard) ? Math.round(kernel.clock.now() - heard.value) : -1,
          leads: Option.isSome(settled) && settled.value.primary === member.member,
          epoch: Option.isSome(state) ? state.value.epoch : 0,
          received: Option.isSome(state) ? state.value.received : 0,
          applied: Option.isSome(state) ? state.value.applied : 0,
        };
      }),
    );
  }

  /** Each service with its floor: what any candidate must hold (design 7.5). */
  async function electionRows(): Promise<Either.Either<Fault, readonly unknown[]>> {
    const floors = await notes.watermarks();
    if (Either.isLeft(floors)) return floors;
    return Either.right(
      elections.describe().map((one) => {
        const floor = floors.right[String(one['service'])] ?? { epoch: 0, position: 0 };
        return { ...one, floor: `${floor.epoch}/${floor.position}` };
      }),
    );
  }

  /** The word of an operator that commits up to the floor of this moment may be lost, if their primary never comes back (design 7.11). */
  async function acceptLoss(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['service'] ?? '';
    const configuration = node.configuration();
    if (Option.isNone(configuration) || placements.service(configuration.value.value.sheet, named) === undefined) {
      return http.rejected(
        fault.create({ kind: 'not-found', message: `no sheet names a service ${named}`, remedy: 'see stallstall elections' }),
      );
    }
    if (!operators.covers(caller.scope, named)) return http.rejected(operators.denied(`${caller.operator} may not change ${named}`));
    const settled = node.electedPrimary(named);
    if (Option.isSome(settled) && members.isAlive(settled.value.primary)) {
      return http.rejected(
        fault.create({
          kind: 'unsafe-step',
          message: `${settled.value.primary} leads ${named} and is alive: nothing needs to be lost`,
          remedy: 'leave it, or retire that member',
        }),
      );
    }
    const floors = await notes.watermarks();
    if (Either.isLeft(floors)) return http.rejected(floors.left);
    const floor = floors.right[named] ?? { epoch: 0, position: 0 };
    const written = await register.change(acceptedLossKey(named), () => Option.some(floor));
    if (Either.isLeft(written)) return http.rejected(written.left);
    await table.note(caller.operator, 'accept-loss', `${named} up to ${floor.epoch}/${floor.position}`);
    return { status: 200, body: { service: named, floor } };
  }

  async function drain(request: HttpRequest, caller: Caller, draining: boolean): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.rejected(
        fault.create({
          kind: 'not-found',
          message: `the membership table names no edge ${named}`,
          remedy: 'see stallstall status for the names',
        }),
      );
    }
    const done = await parts.changeMembership((before) => {
      const current = quorum.seat(before, named);
      return current === undefined ? before : quorum.put(before, { ...current, draining });
    });
    if (Either.isRight(done)) await table.note(caller.operator, draining ? 'drain' : 'undrain', named);
    return http.toReply(Either.isLeft(done) ? done : Either.right({ node: named, draining }));
  }

  async function remove(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.rejected(
        fault.create({
          kind: 'not-found',
          message: `the membership table names no edge ${named}`,
          remedy: 'see stallstall status for the names',
        }),
      );
    }
    const heard = node.lastHeartbeatAt(named);
    if (!seat.draining && Option.isSome(heard) && kernel.clock.now() - heard.value < 5_000) {
      return http.rejected(
        fault.create({
          kind: 'unsafe-step',
          message: `${named} still runs and is not drained`,
          remedy: `run stallstall drain ${named} first`,
        }),
      );
    }
    const { seats } = node.membership().value;
    const heardNodes = reachable().filter((one) => one !== named).length;
    if (request.query['force'] !== 'true' && heardNodes < quorum.majority(seats.length - 1)) {
      return http.rejected(
        fault.create({
          kind: 'unsafe-step',
          message: `only ${heardNodes} other nodes are heard, and ${seats.length - 1} nodes need ${quorum.majority(seats.length - 1)}`,
          remedy: 'bring nodes back first, or repeat it with force',
        }),
      );
    }
    const done = await parts.changeMembership((current) => quorum.remove(current, named));
    if (Either.isRight(done)) await table.note(caller.operator, 'remove', named);
    return http.toReply(Either.isLeft(done) ? done : Either.right({ node: named, removed: true }));
  }

  // -- Operators, the trail, health and metrics.

  async function putOperator(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['operator'] ?? '';
    if (!message.matches(ScopeSchema, request.body) || !/^[a-z0-9][a-z0-9._-]{0,62}$/i.test(named) || named === 'root') {
      return http.rejected(
        fault.create({
          kind: 'bad-request',
          message: 'an operator has a name and {services: [...], nodes: truth, operators: truth}',
          remedy: 'send that shape; the name root is taken',
        }),
      );
    }
    const key = await table.put(named, request.body);
    if (Either.isRight(key))
      await table.note(
        caller.operator,
        'operator-put',
        `${named} services=${request.body.services.join('+')} nodes=${request.body.nodes} operators=${request.body.operators}`,
      );
    return http.toReply(Either.map((made: string) => ({ operator: named, key: made }))(key));
  }

  async function removeOperator(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['operator'] ?? '';
    const removed = await table.remove(named);
    if (Either.isLeft(removed)) return http.rejected(removed.left);
    if (!removed.right)
      return http.rejected(
        fault.create({ kind: 'not-found', message: `there is no operator ${named}`, remedy: 'see stallstall operators' }),
      );
    await table.note(caller.operator, 'operator-removed', named);
    return { status: 200, body: { operator: named, removed: true } };
  }

  async function listed(rows: Either.Either<Fault, readonly unknown[]>, request: HttpRequest): Promise<HttpReply> {
    return http.toReply(Either.map((all: readonly unknown[]) => page(all, request))(rows));
  }

  async function listVersions(request: HttpRequest): Promise<HttpReply> {
    const read = await versions.current();
    if (Either.isLeft(read)) return http.rejected(read.left);
    if (Option.isNone(read.right)) return { status: 200, body: page([], request) };
    const current = read.right.value;
    const shown = page(versions.numbers(current.version), request);
    const rows = await Promise.all((shown.rows as readonly number[]).map((version) => versions.row(version, current)));
    return { status: 200, body: { ...shown, rows } };
  }

  /** Each check with its remedy; the page is 503 when one fails. */
  async function liveness(): Promise<HttpReply> {
    const { value: membership } = node.membership();
    const heard = reachable();
    const needed = quorum.majority(membership.seats.length);
    const coresHeard = node.cores().filter((core) => heard.includes(core.node)).length;
    const configuration = node.configuration();
    const version = Option.isSome(configuration) ? configuration.value.version : 0;
    const behind = [...parts.obeyed()]
      .filter(([named, obeyed]) => obeyed < version && quorum.seat(membership, named) !== undefined)
      .map(([named]) => named);
    const services = Option.isSome(configuration) ? configuration.value.value.sheet.services : [];
    const leaderless = services
      .filter((service) => {
        const settled = node.electedPrimary(service.service);
        return Option.isNone(settled) || !members.isAlive(settled.value.primary);
      })
      .map((service) => service.service);
    const windows = await usage.windows();
    const unsent = Either.isRight(windows)
      ? windows.right
          .filter((one) => !one.sent && (one.window + 1) * usageWindowMilliseconds + usageLateMilliseconds < kernel.clock.wall())
          .map((one) => one.window)
      : [];
    function syncing(): Readonly<{ check: string; sound: boolean; detail: string; remedy: string }> {
      const trouble = parts.diskTrouble();
      return {
        check: 'disk-syncs',
        sound: Option.isNone(trouble),
        detail: Option.isSome(trouble) ? trouble.value.message : 'what is put on the disk is synced',
        remedy: 'make room, or mend the disk: this core answers no ballot until then, and goes on by itself after it',
      };
    }
    const checks = [
      {
        check: 'cores',
        sound: coresHeard >= quorum.majority(node.cores().length),
        detail: `${coresHeard} of ${node.cores().length} heard`,
        remedy: 'bring a core back',
      },
      {
        check: 'nodes',
        sound: heard.length >= needed,
        detail: `${heard.length} of ${membership.seats.length} heard, ${needed} needed`,
        remedy: 'bring nodes back',
      },
      {
        check: 'configuration',
        sound: behind.length === 0,
        detail: behind.length === 0 ? `all obey ${version}` : `behind ${version}: ${behind.join(' ')}`,
        remedy: 'see whether these nodes reach a majority of cores',
      },
      {
        check: 'leaders',
        sound: leaderless.length === 0,
        detail: leaderless.length === 0 ? 'each service has one' : `none alive: ${leaderless.join(' ')}`,
        remedy: 'see stallstall elections and members',
      },
      {
        check: 'usage',
        sound: unsent.length === 0,
        detail: unsent.length === 0 ? 'sent in time' : `late windows: ${unsent.join(' ')}`,
        remedy: 'see whether the platform answers',
      },
      syncing(),
      {
        check: 'disk',
        sound: parts.diskBytes() < diskBytesMost,
        detail: `${Math.round(parts.diskBytes() / 1e6)} MB of ${Math.round(diskBytesMost / 1e6)} MB`,
        remedy: 'start this core with an empty folder, so that it copies the others',
      },
    ];
    return { status: checks.every((one) => one.sound) ? 200 : 503, body: { core: node.settings.node, checks } };
  }

  async function beaten(): Promise<HttpReply> {
    const stances = node.reportedEpochs();
    return {
      status: 200,
      body: {
        ...parts.metrics(),
        nodes: stances.length,
        configuration: parts.versionOf('configuration'),
        membership: node.membership().version,
      },
    };
  }

  async function checkSheet(request: HttpRequest): Promise<HttpReply> {
    return http.toReply(Either.map(() => ({ sound: true }))(placements.check((request.body as { sheet?: unknown } | null)?.sheet)));
  }

  const mappings: readonly HttpRoute[] = [
    {
      method: 'GET',
      path: '/ready',
      handle: async () => ({ status: parts.ready() ? 200 : 503, body: { node: node.settings.node, ready: parts.ready() } }),
    },
    { method: 'GET', path: '/v1/liveness', handle: liveness },
    { method: 'GET', path: '/v1/metrics', handle: beaten },
    { method: 'GET', path: '/v1/fleet', handle: guarded('read', async () => ({ status: 200, body: fleetStatus() })) },
    {
      method: 'GET',
      path: '/v1/members',
      handle: guarded('read', async (request) => ({ status: 200, body: page(memberStatus(), request) })),
    },
    { method: 'GET', path: '/v1/elections', handle: guarded('read', async (request) => listed(await electionRows(), request)) },
    { method: 'POST', path: '/v1/services/:service/accept-loss', handle: guarded('read', acceptLoss) },
    { method: 'GET', path: '/v1/usage', handle: guarded('read', async (request) => listed(await usage.windows(), request)) },
    {
      method: 'GET',
      path: '/v1/audit',
      handle: guarded('read', async (request) =>
        listed(Either.map((entries: readonly unknown[]) => [...entries].reverse())(await table.trail()), request),
      ),
    },
    { method: 'GET', path: '/v1/operators', handle: guarded('operators', async (request) => listed(await table.list(), request)) },
    { method: 'PUT', path: '/v1/operators/:operator', handle: guarded('operators', putOperator) },
    { method: 'DELETE', path: '/v1/operators/:operator', handle: guarded('operators', removeOperator) },
    { method: 'PUT', path: '/v1/sheet', handle: guarded('sheet', sendSheet) },
    { method: 'POST', path: '/v1/sheet/check', handle: guarded('read', checkSheet) },
    { method: 'GET', path: '/v1/sheet', handle: guarded('read', getSheet) },
    { method: 'GET', path: '/v1/sheet/versions', handle: guarded('read', listVersions) },
    { method: 'POST', path: '/v1/nodes/:node/drain', handle: guarded('nodes', (request, caller) => drain(request, caller, true)) },
    { method: 'DELETE', path: '/v1/nodes/:node/drain', handle: guarded('nodes', (request, caller) => drain(request, caller, false)) },
    { method: 'DELETE', path: '/v1/nodes/:node', handle: guarded('nodes', remove) },
  ];

  return { routes: mappings, replaceExternal: orders.replaceExternal, source };
}

export const administration = { create } as const;
