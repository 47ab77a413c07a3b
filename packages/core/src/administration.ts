// The administration API: pages for operators of many teams, on every core (design 9.2, 9.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpMapping, type Kernel } from '@stallstall/kernel';
import { message, type Entry, type Membership } from '@stallstall/message';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import { archivePrefix, notesService, registerService, usageWindowMilliseconds, type Changed } from '@stallstall/register';
import { electionService, livenessService, waivedKey } from '@stallstall/elect';
import type { Configuration, Node } from '@stallstall/node';
import { sheets, type Sheet } from '@stallstall/sheet';
import { operators, ScopeSchema, type Caller, type Scope } from './operators.js';
import type { Usage } from './usage.js';

/** So many versions of the sheet are kept, each in a cell of its own that a version so many later takes over (design 5.4). */
export const versionsKept = 10_000;
/** The ids of so many sends are remembered, so that one whose fate was not known may be repeated. */
const recentKept = 200;
/** The health page speaks up before a core's disk is full of sheets. */
const diskBytesMost = 2 * 1024 * 1024 * 1024;
const pageLength = 100;
const pageMost = 500;
const usageLateMilliseconds = 10_000;
/** An operator that hears nothing for a second turns to another core. */
const configureMilliseconds = 850;

const SendSchema = Type.Object({
  sheet: Type.Unknown(),
  sentBy: Type.Optional(Type.String({ maxLength: 200 })),
  sendId: Type.Optional(Type.String({ maxLength: 200 })),
});

export type AdministrationParts = Readonly<{
  node: Node;
  usage: Usage;
  rootKey: string | undefined;
  ready: () => boolean;
  diskBytes: () => number;
  /** Why this core's disk does not sync now; none while it does. */
  diskTrouble: () => Option.Option<Fault>;
  versionOf: (key: string) => number;
  changeMembership: (next: (table: Membership) => Membership) => Promise<Either.Either<Fault, Membership>>;
  /** What each node that holds a link to this core has acknowledged to obey. */
  obeyed: () => ReadonlyMap<string, number>;
  metrics: () => Readonly<Record<string, number>>;
}>;

/** A version that the sender counts itself, with the text as sent: it is read back unchanged (design 6.5). */
export type ExternalVersion = Readonly<{ version: number; source: string }>;

export type Administration = Readonly<{
  mappings: readonly HttpMapping[];
  /** Of two external versions the higher stands; a lower one, or the same again, changes nothing and is right all the same. */
  configure: (external: ExternalVersion, sheet: Sheet) => Promise<Either.Either<Fault, Readonly<{ version: number }>>>;
  source: () => Promise<Either.Either<Fault, string>>;
}>;

type SentVersion = Omit<Configuration, 'recent' | 'history'>;
type ArchivedVersion = SentVersion & Readonly<{ number: number }>;
const mostShots = 20;

/** A disk of format 1 has the ids of earlier sends in its history. */
function recentOf(configuration: Configuration): Configuration['recent'] {
  return (configuration as Partial<Configuration>).recent ?? configuration.history ?? [];
}

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
  const notes = kernel.services.find(notesService);
  const members = kernel.services.find(livenessService);
  const elections = kernel.services.find(electionService);
  const table = operators.create(kernel, parts.rootKey);

  function has(scope: Scope, need: Need): boolean {
    return need === 'read' || need === 'sheet' || (need === 'nodes' ? scope.nodes : scope.operators);
  }

  /** A page that only who may is let in to; what a sheet changes is checked where it is taken. */
  function guarded(need: Need, handle: (request: HttpRequest, caller: Caller) => Promise<HttpReply>): HttpMapping['handle'] {
    return async function guardedPage(request) {
      const caller = await table.caller(request);
      if (Either.isLeft(caller)) return http.denied(caller.left);
      if (!has(caller.right.scope, need)) return http.denied(operators.denied(`${caller.right.operator} may not do this`));
      return handle(request, caller.right);
    };
  }

  // -- The administration API (design 9.2).

  async function readConfiguration(): Promise<Either.Either<Fault, Option.Option<Readonly<{ version: number; value: Configuration }>>>> {
    const read = await register.read('configuration');
    if (Either.isLeft(read)) return read;
    return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
  }

  function slotOf(version: number): string {
    return `${archivePrefix}configuration/${version % versionsKept}`;
  }

  function oldestOf(latest: number): number {
    return Math.max(1, latest - versionsKept + 1);
  }

  /** Keeps the current version under a key of its own; tells which it was. */
  async function archiveCurrent(): Promise<Either.Either<Fault, number>> {
    const read = await readConfiguration();
    if (Either.isLeft(read)) return read;
    if (Option.isNone(read.right)) return Either.right(0);
    const { version, value } = read.right.value;
    const { recent: _recent, history, ...kept } = value;
    for (const { version: number, ...old } of history ?? []) {
      const written = await archive({ ...old, number });
      if (Either.isLeft(written)) return written;
    }
    const written = await archive({ ...kept, number: version });
    return Either.isLeft(written) ? written : Either.right(version);
  }

  function archive(kept: ArchivedVersion): Promise<Either.Either<Fault, Changed>> {
    return register.change(slotOf(kept.number), function put(current) {
      return Option.isSome(current) && (current.value.value as ArchivedVersion).number >= kept.number ? Option.none : Option.some(kept);
    });
  }

  /** A version by its number: the current one, or one of the archive. */
  async function versionAt(
    wanted: number,
    current: Omit<Configuration, 'recent'> & Readonly<{ version: number }>,
  ): Promise<Either.Either<Fault, Option.Option<SentVersion>>> {
    if (wanted === current.version) return Either.right(Option.some(current));
    if (!Number.isInteger(wanted) || wanted > current.version || wanted < oldestOf(current.version)) return Either.right(Option.none);
    const read = await register.read(slotOf(wanted));
    if (Either.isLeft(read)) return read;
    const kept = Option.isSome(read.right) ? (read.right.value.value as ArchivedVersion) : undefined;
    return Either.right(
      kept?.number === wanted ? Option.some(kept) : Option.fromNullable(current.history?.find((old) => old.version === wanted)),
    );
  }

  async function sendSheet(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const body = request.body;
    if (!message.fits(SendSchema, body)) {
      return http.denied(
        fault.create({
          kind: 'bad-request',
          message: 'a sheet is sent as {"sheet": {...}, "sentBy": "..."}',
          remedy: 'send that shape, or use stallstall sheet send',
        }),
      );
    }
    const checked = sheets.check(body.sheet);
    if (Either.isLeft(checked)) return http.denied(checked.left);
    const sheet = checked.right;
    const expected = request.headers['if-match'];
    if (expected !== undefined && !/^"?\d+"?$/.test(expected)) {
      return http.denied(
        fault.create({ kind: 'bad-request', message: 'If-Match names no version', remedy: 'give a version number, as in If-Match: 7' }),
      );
    }
    const sendId = body.sendId ?? kernel.randomness.token();
    const sent = {
      sheet,
      sendId,
      sentBy: caller.operator === 'anyone' ? (body.sentBy ?? 'unnamed') : caller.operator,
      sentAt: kernel.clock.wall(),
    };
    let conflict: Option.Option<number> = Option.none;
    let beyond: Option.Option<Fault> = Option.none;
    let overtaken = false;
    // What stands is archived before it is replaced, so that no version that was ever chosen is lost.
    async function shot(): Promise<Either.Either<Fault, Changed>> {
      overtaken = false;
      const archived = await archiveCurrent();
      if (Either.isLeft(archived)) return archived;
      return register.change('configuration', function next(current) {
        conflict = Option.none;
        beyond = Option.none;
        const version = Option.isSome(current) ? current.value.version : 0;
        const before = Option.isSome(current) ? (current.value.value as Configuration) : undefined;
        if (before !== undefined && recentOf(before).some((old) => old.sendId === sendId)) return Option.none;
        const allowed = operators.mayChange(caller, before?.sheet, sheet);
        if (Either.isLeft(allowed)) beyond = Option.some(allowed.left);
        else if (expected !== undefined && Number(expected.replaceAll('"', '')) !== version) conflict = Option.some(version);
        if (Option.isSome(beyond) || Option.isSome(conflict)) return Option.none;
        overtaken = version !== archived.right;
        if (overtaken) return Option.none;
        return Option.some({
          ...sent,
          ...(before?.external === undefined ? {} : { external: before.external }),
          recent: [...(before === undefined ? [] : recentOf(before)), { version: version + 1, sendId }].slice(-recentKept),
        });
      });
    }
    let changed = await shot();
    for (let shots = 1; overtaken && Either.isRight(changed) && shots < mostShots; shots += 1) changed = await shot();
    if (overtaken && Either.isRight(changed)) {
      return http.denied(
        fault.create({
          kind: 'overloaded',
          message: 'other operators sent sheets all the while; nothing was changed',
          remedy: 'send it again',
          retryAfterSeconds: 1,
        }),
      );
    }
    if (Either.isLeft(changed)) {
      return http.denied(
        fault.create({
          kind: 'outcome-unknown',
          message: 'it is not known whether the sheet was taken: no majority of disks answered in time',
          remedy: 'read the sheet back, or send it again with the same sendId',
          retryAfterSeconds: 1,
          details: { sendId },
        }),
      );
    }
    if (Option.isSome(beyond)) return http.denied(beyond.value);
    if (Option.isSome(conflict)) {
      return http.denied(
        fault.create({
          kind: 'version-conflict',
          message: `the current version is ${conflict.value}`,
          remedy: 'read it, merge, and send again',
          details: { version: conflict.value },
        }),
      );
    }
    const entry = (changed.right.entry as Option.Some<Entry>).value;
    const version = recentOf(entry.value as Configuration).find((old) => old.sendId === sendId)?.version ?? entry.version;
    await table.note(sent.sentBy, 'sheet', `version ${version}`);
    return { status: 200, headers: { etag: `"${version}"` }, body: { version } };
  }

  async function configure(external: ExternalVersion, sheet: Sheet): Promise<Either.Either<Fault, Readonly<{ version: number }>>> {
    const horizon = kernel.clock.now() + configureMilliseconds;
    while (kernel.clock.now() < horizon) {
      const archived = await archiveCurrent();
      if (Either.isLeft(archived)) return archived;
      let overtaken = false;
      const changed = await register.change(
        'configuration',
        function next(current) {
          overtaken = false;
          const before = Option.isSome(current) ? (current.value.value as Configuration) : undefined;
          if (before?.external !== undefined && before.external.version >= external.version) return Option.none;
          overtaken = (Option.isSome(current) ? current.value.version : 0) !== archived.right;
          if (overtaken) return Option.none;
          return Option.some({
            sheet,
            sendId: `external ${external.version}`,
            sentBy: 'external',
            sentAt: kernel.clock.wall(),
            recent: before === undefined ? [] : recentOf(before),
            external,
          });
        },
        configureMilliseconds,
      );
      if (Either.isLeft(changed)) return changed;
      if (!overtaken) {
        const standing = Option.isSome(changed.right.entry) ? (changed.right.entry.value.value as Configuration) : undefined;
        kernel.log('configuration.taken', {
          external: external.version,
          standing: standing?.external?.version ?? 0,
          wrote: changed.right.wrote,
        });
        return Either.right({ version: standing?.external?.version ?? 0 });
      }
    }
    return Either.left(
      fault.create({
        kind: 'no-majority',
        message: 'the configuration was not settled in time',
        remedy: 'send it again unchanged',
        retryAfterSeconds: 1,
      }),
    );
  }

  async function source(): Promise<Either.Either<Fault, string>> {
    const read = await readConfiguration();
    if (Either.isLeft(read)) return read;
    const external = Option.isSome(read.right) ? read.right.value.value.external : undefined;
    return external === undefined
      ? Either.left(fault.create({ kind: 'not-found', message: 'no configuration has been sent yet', remedy: 'send one' }))
      : Either.right(external.source);
  }

  async function getSheet(request: HttpRequest): Promise<HttpReply> {
    const read = await readConfiguration();
    if (Either.isLeft(read)) return http.denied(read.left);
    if (Option.isNone(read.right)) {
      return http.denied(
        fault.create({ kind: 'not-found', message: 'no sheet has been sent yet', remedy: 'send one with stallstall sheet send' }),
      );
    }
    const { version, value } = read.right.value;
    const wanted = request.query['version'] === undefined ? version : Number(request.query['version']);
    const found = await versionAt(wanted, { version, ...value });
    if (Either.isLeft(found)) return http.denied(found.left);
    if (Option.isNone(found.right)) {
      return http.denied(
        fault.create({
          kind: wanted > version || !Number.isInteger(wanted) || wanted < 1 ? 'not-found' : 'version-forgotten',
          message: `version ${request.query['version']} is not kept`,
          remedy: `ask for ${oldestOf(version)} to ${version}`,
        }),
      );
    }
    const { sheet, sentBy, sentAt } = found.right.value;
    return {
      status: 200,
      headers: { etag: `"${wanted}"` },
      body: { version: wanted, sheet, sentBy, sentAt, oldest: oldestOf(version), latest: version },
    };
  }

  /** The nodes heard within a term, this one among them. */
  function reachable(): readonly string[] {
    return node
      .membership()
      .value.seats.map((seat) => seat.node)
      .filter((named) => {
        const heard = node.heardAt(named);
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
        const heard = node.heardAt(seat.node);
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
              : Option.getOrElse(() => 0)(Option.map((held: Peer) => held.protocol())(node.callPeer(seat.node))),
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
        const settled = node.settled(service.service);
        const state = members.state(member.member);
        const heard = members.lastHeard(member.member);
        return {
          service: service.service,
          member: member.member,
          area: member.area,
          address: member.address,
          state: member.state,
          alive: members.alive(member.member),
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
    const floors = await notes.floors();
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
    if (Option.isNone(configuration) || sheets.service(configuration.value.value.sheet, named) === undefined) {
      return http.denied(
        fault.create({ kind: 'not-found', message: `no sheet names a service ${named}`, remedy: 'see stallstall elections' }),
      );
    }
    if (!operators.covers(caller.scope, named)) return http.denied(operators.denied(`${caller.operator} may not change ${named}`));
    const settled = node.settled(named);
    if (Option.isSome(settled) && members.alive(settled.value.primary)) {
      return http.denied(
        fault.create({
          kind: 'unsafe-step',
          message: `${settled.value.primary} leads ${named} and is alive: nothing needs to be lost`,
          remedy: 'leave it, or retire that member',
        }),
      );
    }
    const floors = await notes.floors();
    if (Either.isLeft(floors)) return http.denied(floors.left);
    const floor = floors.right[named] ?? { epoch: 0, position: 0 };
    const written = await register.change(waivedKey(named), () => Option.some(floor));
    if (Either.isLeft(written)) return http.denied(written.left);
    await table.note(caller.operator, 'accept-loss', `${named} up to ${floor.epoch}/${floor.position}`);
    return { status: 200, body: { service: named, floor } };
  }

  async function drain(request: HttpRequest, caller: Caller, draining: boolean): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.denied(
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
    return http.replied(Either.isLeft(done) ? done : Either.right({ node: named, draining }));
  }

  async function remove(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.denied(
        fault.create({
          kind: 'not-found',
          message: `the membership table names no edge ${named}`,
          remedy: 'see stallstall status for the names',
        }),
      );
    }
    const heard = node.heardAt(named);
    if (!seat.draining && Option.isSome(heard) && kernel.clock.now() - heard.value < 5_000) {
      return http.denied(
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
      return http.denied(
        fault.create({
          kind: 'unsafe-step',
          message: `only ${heardNodes} other nodes are heard, and ${seats.length - 1} nodes need ${quorum.majority(seats.length - 1)}`,
          remedy: 'bring nodes back first, or repeat it with force',
        }),
      );
    }
    const done = await parts.changeMembership((current) => quorum.remove(current, named));
    if (Either.isRight(done)) await table.note(caller.operator, 'remove', named);
    return http.replied(Either.isLeft(done) ? done : Either.right({ node: named, removed: true }));
  }

  // -- Operators, the trail, health and metrics.

  async function putOperator(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['operator'] ?? '';
    if (!message.fits(ScopeSchema, request.body) || !/^[a-z0-9][a-z0-9._-]{0,62}$/i.test(named) || named === 'root') {
      return http.denied(
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
    return http.replied(Either.map((made: string) => ({ operator: named, key: made }))(key));
  }

  async function removeOperator(request: HttpRequest, caller: Caller): Promise<HttpReply> {
    const named = request.query['operator'] ?? '';
    const removed = await table.remove(named);
    if (Either.isLeft(removed)) return http.denied(removed.left);
    if (!removed.right)
      return http.denied(fault.create({ kind: 'not-found', message: `there is no operator ${named}`, remedy: 'see stallstall operators' }));
    await table.note(caller.operator, 'operator-removed', named);
    return { status: 200, body: { operator: named, removed: true } };
  }

  async function listed(rows: Either.Either<Fault, readonly unknown[]>, request: HttpRequest): Promise<HttpReply> {
    return http.replied(Either.map((all: readonly unknown[]) => page(all, request))(rows));
  }

  async function versions(request: HttpRequest): Promise<HttpReply> {
    const read = await readConfiguration();
    if (Either.isLeft(read)) return http.denied(read.left);
    if (Option.isNone(read.right)) return { status: 200, body: page([], request) };
    const current = { version: read.right.value.version, ...read.right.value.value };
    const numbers = Array.from({ length: current.version - oldestOf(current.version) + 1 }, (_, index) => current.version - index);
    const shown = page(numbers, request);
    const rows = await Promise.all(
      (shown.rows as readonly number[]).map(async function row(version) {
        const found = await versionAt(version, current);
        return Either.isRight(found) && Option.isSome(found.right)
          ? { version, sentBy: found.right.value.sentBy, sentAt: found.right.value.sentAt }
          : { version };
      }),
    );
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
        const settled = node.settled(service.service);
        return Option.isNone(settled) || !members.alive(settled.value.primary);
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
        remedy: 'send smaller sheets: the last ten thousand are kept',
      },
    ];
    return { status: checks.every((one) => one.sound) ? 200 : 503, body: { core: node.settings.node, checks } };
  }

  async function beaten(): Promise<HttpReply> {
    const stances = node.stances();
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
    return http.replied(Either.map(() => ({ sound: true }))(sheets.check((request.body as { sheet?: unknown } | null)?.sheet)));
  }

  const mappings: readonly HttpMapping[] = [
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
    { method: 'GET', path: '/v1/sheet/versions', handle: guarded('read', versions) },
    { method: 'POST', path: '/v1/nodes/:node/drain', handle: guarded('nodes', (request, caller) => drain(request, caller, true)) },
    { method: 'DELETE', path: '/v1/nodes/:node/drain', handle: guarded('nodes', (request, caller) => drain(request, caller, false)) },
    { method: 'DELETE', path: '/v1/nodes/:node', handle: guarded('nodes', remove) },
  ];

  return { mappings, configure, source };
}

export const administration = { create } as const;
