// The core: a disk of the register, pushes, the operators' administration API (design 5, 6, 9).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault, http, identifiers, owner, type Disk, type Fault, type HttpReply, type HttpRequest, type HttpRoute, type Kernel,
  type Listening,
} from '@stallstall/kernel';
import {
  MembershipSchema, message, SeatSchema, type Ask, type Entry, type Membership, type Reply, type Seat,
} from '@stallstall/message';
import { peer, type Caller, type Handlers } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import { acceptor, registerService, watcher, type RegisterTarget } from '@stallstall/register';
import { node as nodes, beatMilliseconds, type Configuration, type Node, type NodeSettings } from '@stallstall/node';
import { electionService, livenessService, type Vote, type VoteStore } from '@stallstall/elect';
import { sheets } from '@stallstall/sheet';
import { Type } from '@sinclair/typebox';
import { usage as usages } from './usage.js';

export const historyKept = 16;

export type CoreSettings = NodeSettings & Readonly<{ cores: number }>;

export type Core = Readonly<{ node: Node; open: () => boolean; stop: () => Promise<void> }>;

const FleetSchema = Type.Object({
  fleet: Type.String({ minLength: 1 }),
  node: Type.String({ minLength: 1 }),
  cores: Type.Array(SeatSchema),
  /** founding: agreed to, not yet formed; copying: a blank disk in a formed fleet; formed: answers ballots. */
  stage: Type.Union([Type.Literal('founding'), Type.Literal('copying'), Type.Literal('formed')]),
});
type Fleet = Readonly<{ fleet: string; node: string; cores: readonly Seat[]; stage: 'founding' | 'copying' | 'formed' }>;

const SendSchema = Type.Object({ sheet: Type.Unknown(), sentBy: Type.Optional(Type.String({ maxLength: 200 })), sendId: Type.Optional(Type.String({ maxLength: 200 })) });

/** A vote for nobody: all it does is deny that epoch and those before it. */
const abstained = { candidate: '', proposer: '' } as const;

type Watching = { node: string; number: number; acknowledged: number; obeyed: number; caller: Caller };

/** What is pushed of the configuration leaves its history behind. */
function forPush(key: string, entry: Entry): Entry {
  return key === 'configuration' ? { ...entry, value: { ...(entry.value as Configuration), history: [] } } : entry;
}

function diskFault(stored: ReadonlyMap<string, unknown>, settings: CoreSettings): Option.Option<Fault> {
  const fleet = stored.get('fleet');
  if (fleet === undefined && stored.size > 0) {
    return Option.some(fault.create({
      kind: 'foreign-disk', message: 'the data folder holds entries but no fleet',
      remedy: 'the folder is damaged: move it away and start with an empty one, so that this core copies the others',
    }));
  }
  if (fleet === undefined) return Option.none;
  if (!message.fits(FleetSchema, fleet) || fleet.node !== settings.node) {
    return Option.some(fault.create({
      kind: 'foreign-disk', message: 'the data folder belongs to another node or is damaged',
      remedy: `point --data at the folder of ${settings.node}, or start with an empty one`,
    }));
  }
  for (const [key, value] of stored) {
    if (key.startsWith('register/') && !acceptor.isCellState(value)) {
      return Option.some(fault.create({
        kind: 'foreign-disk', message: `the entry ${key} in the data folder cannot be read`,
        remedy: 'move the folder away and start with an empty one, so that this core copies the others',
      }));
    }
  }
  return Option.none;
}

type CoreVotes = VoteStore & Readonly<{ epochs: () => Promise<Readonly<Record<string, number>>> }>;

function coreVotes(disk: Disk, stored: ReadonlyMap<string, unknown>): CoreVotes {
  const votes = owner.create('votes', new Map<string, Vote>());
  for (const [key, value] of stored) if (key.startsWith('vote/')) void votes.ask((table) => void table.set(key.slice(5), value as Vote));
  return {
    epochs: () => votes.ask((table) => Object.fromEntries([...table].map(([service, vote]) => [service, vote.epoch]))),
    load: (service) => votes.ask((table) => Either.right(Option.fromNullable(table.get(service)))),
    record: (service, vote) => votes.ask(async function record(table) {
      if ((table.get(service)?.epoch ?? 0) >= vote.epoch) return false;
      const kept = await disk.put(`vote/${service}`, vote);
      if (Either.isLeft(kept)) return false;
      table.set(service, vote);
      return true;
    }),
  };
}

async function start(kernel: Kernel, settings: CoreSettings): Promise<Either.Either<Fault, Core>> {
  if (Option.isNone(kernel.disk)) {
    return Either.left(fault.create({ kind: 'bad-settings', message: 'a core needs a data folder', remedy: 'name one with --data' }));
  }
  const disk = kernel.disk.value;
  const stored = await disk.load();
  const broken = diskFault(stored, settings);
  if (Option.isSome(broken)) return Either.left(broken.value);

  let fleet: Option.Option<Fleet> = Option.fromNullable(stored.get('fleet') as Fleet | undefined);
  const watching = new Map<Caller, Watching>();
  let stopped = false;

  const cells = acceptor.create(disk, stored, function push(key, entry) {
    if (!watcher.watched(key)) return;
    for (const [caller, entryOf] of watching) if (caller.open()) handOver(entryOf, key, entry);
    feedOwn();
  }, function failed(error) {
    kernel.log('disk.failed', { reason: error.message });
  });

  function handOver(to: Watching, key: string, entry: Entry): void {
    to.number += 1;
    to.caller.change({ number: to.number, key, entry: forPush(key, entry) });
  }

  const votes = coreVotes(disk, stored);
  const ownTarget: RegisterTarget = {
    core: settings.node,
    ask: async function ask(kind, body) {
      const reply = await cells[kind](body as never);
      return Option.some(reply as never);
    },
  };

  const node: Node = nodes.create(kernel, settings, {
    role: 'core',
    votes: () => votes,
    own: Option.some({ target: ownTarget, accepted: cells.accepted }),
    floor: () => 0,
    caps: () => ({}),
    onObeyed: () => undefined,
    onHello,
  });

  let ownNumber = 0;
  function feedOwn(): void {
    for (const key of cells.keys()) {
      const entry = cells.accepted(key);
      if (!watcher.watched(key) || Option.isNone(entry)) continue;
      ownNumber += 1;
      node.changed(settings.node, { number: ownNumber, key, entry: forPush(key, entry.value) });
    }
  }

  const register = kernel.services.find(registerService);
  const members = kernel.services.find(livenessService);
  const elections = kernel.services.find(electionService);
  const usage = usages.create(kernel, node);

  // -- Forming the fleet once, or coming back to it (design 4.3).

  const met = new Map<string, Readonly<{ seat: Seat; fleet: string; founding: string; at: number }>>();
  let copyingStarted = false;
  let knownPuts = 0;

  function stage(): 'blank' | Fleet['stage'] {
    return Option.isNone(fleet) ? 'blank' : fleet.value.stage;
  }

  async function keepFleet(next: Fleet): Promise<boolean> {
    const kept = await disk.put('fleet', next);
    if (Either.isRight(kept)) fleet = Option.some(next);
    else kernel.log('disk.failed', { reason: kept.left.message });
    return Either.isRight(kept);
  }

  function open(known: Fleet): void {
    node.setFleet(known.fleet);
    node.setCores(known.cores);
    cells.open();
    feedOwn();
    kernel.log('core.open', { fleet: known.fleet, cores: known.cores.length });
  }

  async function becomeFormed(known: Fleet): Promise<void> {
    if (await keepFleet({ ...known, stage: 'formed' })) open(known);
  }

  function onHello(reply: Reply<'hello'>, address: string): void {
    if (reply.role !== 'core' || reply.node === settings.node) return;
    met.set(reply.node, {
      seat: { ...node.seat(), node: reply.node, address }, fleet: reply.fleet, founding: reply.founding, at: kernel.clock.now(),
    });
    knownPuts = Math.max(knownPuts, reply.knownPuts);
    if (reply.fleet === '') return;
    if (Option.isSome(fleet) && fleet.value.fleet !== reply.fleet) {
      kernel.stop(fault.create({
        kind: 'foreign-disk', message: `this disk is of fleet ${fleet.value.fleet}, ${reply.node} is of fleet ${reply.fleet}`,
        remedy: 'point the seeds or --data at the right fleet',
      }));
      return;
    }
    if (stage() === 'founding' && Option.isSome(fleet)) void becomeFormed(fleet.value);
    if (stage() === 'blank' && reply.cores.some((core) => core.node === settings.node)) {
      void copy({ fleet: reply.fleet, node: settings.node, cores: reply.cores, stage: 'copying' });
    }
  }

  /** A blank disk in a formed fleet has been lost: it answers no ballot before it holds what all the others hold. */
  async function copy(known: Fleet): Promise<void> {
    if (copyingStarted) return;
    copyingStarted = true;
    while (!(await keepFleet(known))) await kernel.clock.sleep(beatMilliseconds);
    node.setFleet(known.fleet);
    kernel.log('core.copying', { fleet: known.fleet });
    const others = known.cores.filter((core) => core.node !== settings.node);
    const epochs: Record<string, number> = { ...(await votes.epochs()) };
    for (const other of others) {
      const dialled = peer.dial(kernel, identifiers.address(other.address));
      for (let copied = false; !copied && !stopped; ) {
        const reply = await dialled.call('copy', {}, 2_000);
        if (Option.isSome(reply) && reply.value.ready) {
          const merged = await Promise.all(reply.value.entries.map((entry) => (acceptor.isCellState(entry.state) ? cells.merge(entry.key, entry.state) : false)));
          copied = merged.every(Boolean);
          for (const [service, epoch] of Object.entries(reply.value.votes)) epochs[service] = Math.max(epoch, epochs[service] ?? 0);
        } else await kernel.clock.sleep(beatMilliseconds);
      }
      dialled.close();
    }
    // What it voted is lost with the disk. An epoch it may have helped to win has other voters, and theirs were copied.
    for (const [service, epoch] of Object.entries(epochs)) {
      while (!stopped && ((await votes.epochs())[service] ?? 0) < epoch) {
        if (!(await votes.record(service, { epoch, ...abstained }))) await kernel.clock.sleep(beatMilliseconds);
      }
    }
    while (!stopped && !cells.ready()) {
      await becomeFormed(known);
      await kernel.clock.sleep(beatMilliseconds);
    }
  }

  /** A disk that has taken fewer puts than others have heard of is an old copy: as good as lost (design 4.3). */
  async function reopen(known: Fleet): Promise<void> {
    const others = quorum.majority(known.cores.length) - 1;
    while (!stopped && !cells.ready()) {
      if (knownPuts > disk.puts()) {
        kernel.log('core.old-disk', { puts: disk.puts(), known: knownPuts });
        return copy({ ...known, stage: 'copying' });
      }
      if ([...met.values()].filter((core) => core.fleet === known.fleet).length >= others) open(known);
      else await kernel.clock.sleep(beatMilliseconds / 4);
    }
  }

  async function form(): Promise<void> {
    while (!stopped && (stage() === 'blank' || stage() === 'founding')) {
      await kernel.clock.sleep(beatMilliseconds);
      const others = [...met.values()].filter((core) => kernel.clock.now() - core.at < 2_000);
      const everyone = [node.seat(), ...others.map((core) => core.seat)].sort((left, right) => (left.node < right.node ? -1 : 1));
      if (everyone.length !== settings.cores || everyone[0]?.node !== settings.node || others.some((core) => core.fleet !== '')) continue;
      const known: Fleet = Option.isSome(fleet) ? fleet.value : { fleet: kernel.randomness.token(), node: settings.node, cores: everyone, stage: 'founding' };
      if (Option.isNone(fleet) && !(await keepFleet(known))) continue;
      if (!(await ask(known, 'propose'))) continue;
      await becomeFormed(known);
      await ask(known, 'formed');
    }
  }

  async function ask(known: Fleet, step: 'propose' | 'formed'): Promise<boolean> {
    const answers = await Promise.all(known.cores.filter((core) => core.node !== settings.node).map(async function one(core) {
      const dialled = peer.dial(kernel, identifiers.address(core.address));
      await kernel.clock.sleep(50);
      const reply = await dialled.call('form', { step, fleet: known.fleet, cores: [...known.cores] }, 1_000);
      dialled.close();
      return Option.isSome(reply) && reply.value.agreed;
    }));
    return answers.every(Boolean);
  }

  async function agree(told: Ask<'form'>): Promise<Reply<'form'>> {
    const known: Fleet = { fleet: told.fleet, node: settings.node, cores: told.cores, stage: 'founding' };
    if (stage() === 'blank' && told.step === 'propose' && !(await keepFleet(known))) return { agreed: false };
    if (Option.isNone(fleet) || fleet.value.fleet !== told.fleet) return { agreed: false };
    if (told.step === 'formed' && fleet.value.stage === 'founding') await becomeFormed(fleet.value);
    return { agreed: true };
  }

  // -- The membership table, one change at a time (design 4.2).

  async function changeMembership(next: (table: Membership) => Membership): Promise<Either.Either<Fault, Membership>> {
    const read = await register.read('membership');
    if (Either.isLeft(read)) return read;
    const version = Option.isSome(read.right) ? read.right.value.version : 0;
    const table = Option.isSome(read.right) && message.fits(MembershipSchema, read.right.value.value) ? read.right.value.value : quorum.empty;
    const wanted = next(table);
    if (wanted === table) return Either.right(table);
    const obeying = node.stances().filter((stance) => stance.membership === version && (version === 0 || quorum.seat(table, stance.node) !== undefined));
    if (version > 0 && obeying.length < quorum.majority(table.seats.length)) {
      return Either.left(fault.create({
        kind: 'no-majority', message: `only ${obeying.length} of ${table.seats.length} nodes obey membership ${version} so far`,
        remedy: 'wait until a majority does, then try again', retryAfterSeconds: 1,
      }));
    }
    const barrier: Record<string, number> = { ...table.epochs };
    for (const stance of obeying) for (const [service, epoch] of Object.entries(stance.epochs)) barrier[service] = Math.max(epoch, barrier[service] ?? 0);
    const changed: Membership = { ...wanted, epochs: barrier };
    const written = await register.change('membership', function put(current) {
      return (Option.isSome(current) ? current.value.version : 0) === version ? Option.some(changed) : Option.none;
    });
    if (Either.isLeft(written)) return written;
    if (!written.right.wrote) {
      return Either.left(fault.create({
        kind: 'version-conflict', message: 'the membership table changed meanwhile', remedy: 'try again', retryAfterSeconds: 1,
      }));
    }
    return Either.right(changed);
  }

  const membershipCommands = owner.create('membership', null);

  async function join(ask: Ask<'join'>): Promise<Reply<'join'>> {
    if (!cells.ready()) return { joined: false, reason: 'this core is not open yet' };
    // A node that is listed as it is has only not read the table yet: no step, and what an operator drained stays drained.
    const done = await membershipCommands.ask(() => changeMembership((table) => {
      const listed = quorum.seat(table, ask.seat.node);
      return listed === undefined ? quorum.put(table, ask.seat)
        : listed.address === ask.seat.address && listed.outward === ask.seat.outward && listed.area === ask.seat.area ? table
        : quorum.put(table, { ...ask.seat, draining: listed.draining });
    }));
    return Either.isRight(done) ? { joined: true, reason: '' } : { joined: false, reason: done.left.message.slice(0, 300) };
  }

  // -- Pushing numbered changes and counting the acknowledgements (design 5.2).

  function versionOf(key: string): number {
    const entry = cells.accepted(key);
    return Option.isSome(entry) ? entry.value.version : 0;
  }

  function watch(ask: Ask<'watch'>, caller: Caller): Reply<'watch'> {
    let entry = watching.get(caller);
    if (cells.ready() && entry === undefined) {
      entry = { node: ask.node, number: 0, acknowledged: 0, obeyed: 0, caller };
      watching.set(caller, entry);
      for (const key of cells.keys()) {
        const accepted = cells.accepted(key);
        if (watcher.watched(key) && Option.isSome(accepted)) handOver(entry, key, accepted.value);
      }
    }
    for (const known of watching.keys()) if (!known.open()) watching.delete(known);
    if (entry !== undefined) {
      entry.acknowledged = ask.acknowledged;
      entry.obeyed = ask.obeyed;
    }
    return {
      ready: cells.ready(), number: entry?.number ?? 0, configuration: versionOf('configuration'), membership: versionOf('membership'), puts: disk.puts(),
      superseded: ask.incarnation > 0 && node.isStale(ask.node, ask.incarnation),
    };
  }

  /** This core's own votes, and those of edges as far as its cells hold them. */
  async function votedEpochs(): Promise<Readonly<Record<string, number>>> {
    const epochs: Record<string, number> = { ...(await votes.epochs()) };
    for (const cell of cells.cells()) {
      const [kind, service] = cell.key.split('/');
      const vote = cell.state.accepted?.value as Partial<Vote> | undefined;
      if (kind === 'vote' && service !== undefined && typeof vote?.epoch === 'number') epochs[service] = Math.max(vote.epoch, epochs[service] ?? 0);
    }
    return epochs;
  }

  const handlers: Handlers = {
    ...node.handlers,
    hello: async function hello(ask, caller) {
      const reply = await (node.handlers.hello as NonNullable<Handlers['hello']>)(ask, caller);
      return {
        ...reply,
        fleet: Option.isSome(fleet) && fleet.value.stage === 'formed' ? fleet.value.fleet : '',
        founding: Option.isSome(fleet) ? fleet.value.fleet : '',
        cores: Option.isSome(fleet) && fleet.value.stage === 'formed' ? fleet.value.cores.map((core) => quorum.seat(node.membership().value, core.node) ?? core) : [],
      };
    },
    form: agree,
    copy: async () => ({ ready: cells.ready(), votes: { ...(await votedEpochs()) }, entries: cells.cells().map((cell) => ({ key: cell.key, state: cell.state })) }),
    prepare: cells.prepare,
    accept: cells.accept,
    look: cells.look,
    watch,
    join,
    usageTell: function told(ask) {
      usage.tell(ask.reports);
      return {};
    },
    usageLook: (ask) => ({ reports: [...usage.look(ask.window)] }),
  };

  // -- The administration API (design 9.2).

  async function readConfiguration(): Promise<Either.Either<Fault, Option.Option<Readonly<{ version: number; value: Configuration }>>>> {
    const read = await register.read('configuration');
    if (Either.isLeft(read)) return read;
    return Either.right(Option.map((entry: Entry) => ({ version: entry.version, value: entry.value as Configuration }))(read.right));
  }

  async function sendSheet(request: HttpRequest): Promise<HttpReply> {
    const body = request.body;
    if (!message.fits(SendSchema, body)) {
      return http.denied(fault.create({
        kind: 'bad-request', message: 'a sheet is sent as {"sheet": {...}, "sentBy": "..."}', remedy: 'send that shape, or use stallstall sheet send',
      }));
    }
    const checked = sheets.check(body.sheet);
    if (Either.isLeft(checked)) return http.denied(checked.left);
    const expected = request.headers['if-match'];
    if (expected !== undefined && !/^"?\d+"?$/.test(expected)) {
      return http.denied(fault.create({ kind: 'bad-request', message: 'If-Match names no version', remedy: 'give a version number, as in If-Match: 7' }));
    }
    const sendId = body.sendId ?? kernel.randomness.token();
    const sent = { sheet: checked.right, sendId, sentBy: body.sentBy ?? 'unnamed', sentAt: kernel.clock.wall() };
    let conflict: Option.Option<number> = Option.none;
    const changed = await register.change('configuration', function next(current) {
      conflict = Option.none;
      if (Option.isNone(current)) {
        if (expected !== undefined && Number(expected.replaceAll('"', '')) !== 0) conflict = Option.some(0);
        return Option.isSome(conflict) ? Option.none : Option.some({ ...sent, history: [] });
      }
      const before = current.value.value as Configuration;
      if (before.sendId === sendId || before.history.some((old) => old.sendId === sendId)) return Option.none;
      if (expected !== undefined && Number(expected.replaceAll('"', '')) !== current.value.version) {
        conflict = Option.some(current.value.version);
        return Option.none;
      }
      const old = { version: current.value.version, sheet: before.sheet, sendId: before.sendId, sentBy: before.sentBy, sentAt: before.sentAt };
      return Option.some({ ...sent, history: [...before.history, old].slice(-historyKept) });
    });
    if (Either.isLeft(changed)) {
      return http.denied(fault.create({
        kind: 'outcome-unknown', message: 'it is not known whether the sheet was taken: no majority of disks answered in time',
        remedy: 'read the sheet back, or send it again with the same sendId', retryAfterSeconds: 1, details: { sendId },
      }));
    }
    if (Option.isSome(conflict)) {
      return http.denied(fault.create({
        kind: 'version-conflict', message: `the current version is ${conflict.value}`, remedy: 'read it, merge, and send again', details: { version: conflict.value },
      }));
    }
    const entry = (changed.right.entry as Option.Some<Entry>).value;
    const standing = entry.value as Configuration;
    const version = standing.sendId === sendId ? entry.version : (standing.history.find((old) => old.sendId === sendId)?.version ?? entry.version);
    kernel.log('configuration.taken', { version, sentBy: sent.sentBy });
    return { status: 200, headers: { etag: `"${version}"` }, body: { version } };
  }

  async function getSheet(request: HttpRequest): Promise<HttpReply> {
    const read = await readConfiguration();
    if (Either.isLeft(read)) return http.denied(read.left);
    if (Option.isNone(read.right)) {
      return http.denied(fault.create({ kind: 'not-found', message: 'no sheet has been sent yet', remedy: 'send one with stallstall sheet send' }));
    }
    const { version, value } = read.right.value;
    const wanted = request.query['version'] === undefined ? version : Number(request.query['version']);
    const found = wanted === version ? { version, ...value } : value.history.find((old) => old.version === wanted);
    if (found === undefined) {
      return http.denied(fault.create({
        kind: wanted > version || !Number.isInteger(wanted) ? 'not-found' : 'version-forgotten',
        message: `version ${request.query['version']} is not kept`, remedy: `ask for ${value.history[0]?.version ?? version} to ${version}`,
      }));
    }
    return {
      status: 200, headers: { etag: `"${found.version}"` },
      body: { version: found.version, sheet: found.sheet, sentBy: found.sentBy, sentAt: found.sentAt, kept: [...value.history.map((old) => old.version), version] },
    };
  }

  /** The nodes heard within a term, this one among them. */
  function reachable(): readonly string[] {
    return node.membership().value.seats.map((seat) => seat.node).filter((named) => {
      const heard = node.heardAt(named);
      return named === settings.node || (Option.isSome(heard) && kernel.clock.now() - heard.value < 2_000);
    });
  }

  function fleetStatus(): Readonly<Record<string, unknown>> {
    const table = node.membership();
    const configuration = node.configuration();
    const now = kernel.clock.now();
    const obeying = new Map([...watching.values()].filter((entry) => entry.caller.open()).map((entry) => [entry.node, entry]));
    return {
      core: settings.node,
      fleet: node.fleet(),
      open: cells.ready(),
      configuration: versionOf('configuration'),
      membership: table.version,
      size: table.value.seats.length,
      quorum: quorum.majority(table.value.seats.length),
      heard: reachable().length,
      spare: reachable().length - quorum.majority(table.value.seats.length),
      nodes: table.value.seats.map(function describe(seat) {
        const heard = node.heardAt(seat.node);
        const acknowledged = obeying.get(seat.node);
        return {
          node: seat.node, role: seat.role, area: seat.area, address: seat.address, outward: seat.outward, draining: seat.draining,
          heardMilliseconds: seat.node === settings.node ? 0 : Option.isSome(heard) ? Math.round(now - heard.value) : -1,
          obeys: seat.node === settings.node ? (Option.isSome(configuration) ? configuration.value.version : 0) : (acknowledged?.obeyed ?? -1),
        };
      }),
    };
  }

  function memberStatus(): readonly Readonly<Record<string, unknown>>[] {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return [];
    return configuration.value.value.sheet.services.flatMap((service) => service.members.map(function describe(member) {
      const settled = node.settled(service.service);
      const state = members.state(member.member);
      const heard = members.lastHeard(member.member);
      return {
        service: service.service, member: member.member, area: member.area, address: member.address, state: member.state,
        alive: members.alive(member.member),
        heardMilliseconds: Option.isSome(heard) ? Math.round(kernel.clock.now() - heard.value) : -1,
        leads: Option.isSome(settled) && settled.value.primary === member.member,
        epoch: Option.isSome(state) ? state.value.epoch : 0,
        received: Option.isSome(state) ? state.value.received : 0,
        applied: Option.isSome(state) ? state.value.applied : 0,
      };
    }));
  }

  async function drain(request: HttpRequest, draining: boolean): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.denied(fault.create({ kind: 'not-found', message: `the membership table names no edge ${named}`, remedy: 'see stallstall status for the names' }));
    }
    const done = await membershipCommands.ask(() => changeMembership((table) => {
      const current = quorum.seat(table, named);
      return current === undefined ? table : quorum.put(table, { ...current, draining });
    }));
    return http.replied(Either.isLeft(done) ? done : Either.right({ node: named, draining }));
  }

  async function remove(request: HttpRequest): Promise<HttpReply> {
    const named = request.query['node'] ?? '';
    const seat = quorum.seat(node.membership().value, named);
    if (seat === undefined || seat.role !== 'edge') {
      return http.denied(fault.create({ kind: 'not-found', message: `the membership table names no edge ${named}`, remedy: 'see stallstall status for the names' }));
    }
    const heard = node.heardAt(named);
    if (!seat.draining && Option.isSome(heard) && kernel.clock.now() - heard.value < 5_000) {
      return http.denied(fault.create({ kind: 'unsafe-step', message: `${named} still runs and is not drained`, remedy: `run stallstall drain ${named} first` }));
    }
    const table = node.membership().value;
    const heardNodes = reachable().filter((one) => one !== named).length;
    if (request.query['force'] !== 'true' && heardNodes < quorum.majority(table.seats.length - 1)) {
      return http.denied(fault.create({
        kind: 'unsafe-step', message: `only ${heardNodes} other nodes are heard, and ${table.seats.length - 1} nodes need ${quorum.majority(table.seats.length - 1)}`,
        remedy: 'bring nodes back first, or repeat it with force',
      }));
    }
    const done = await membershipCommands.ask(() => changeMembership((current) => quorum.remove(current, named)));
    return http.replied(Either.isLeft(done) ? done : Either.right({ node: named, removed: true }));
  }

  const routes: readonly HttpRoute[] = [
    ...node.routes,
    { method: 'GET', path: '/ready', handle: async () => ({ status: cells.ready() ? 200 : 503, body: { node: settings.node, ready: cells.ready() } }) },
    { method: 'GET', path: '/v1/fleet', handle: async () => ({ status: 200, body: fleetStatus() }) },
    { method: 'GET', path: '/v1/members', handle: async () => ({ status: 200, body: { members: memberStatus() } }) },
    { method: 'GET', path: '/v1/elections', handle: async () => ({ status: 200, body: { node: settings.node, services: elections.describe() } }) },
    { method: 'GET', path: '/v1/usage', handle: async () => http.replied((await usage.windows()) as Either.Either<Fault, unknown>) },
    { method: 'PUT', path: '/v1/sheet', handle: sendSheet },
    { method: 'POST', path: '/v1/sheet/check', handle: async (request) => http.replied(Either.map(() => ({ sound: true }))(sheets.check((request.body as { sheet?: unknown } | null)?.sheet))) },
    { method: 'GET', path: '/v1/sheet', handle: getSheet },
    { method: 'POST', path: '/v1/nodes/:node/drain', handle: (request) => drain(request, true) },
    { method: 'DELETE', path: '/v1/nodes/:node/drain', handle: (request) => drain(request, false) },
    { method: 'DELETE', path: '/v1/nodes/:node', handle: remove },
  ];

  const listening: readonly Listening[] = [
    await peer.listen(kernel, identifiers.address(settings.address), handlers),
    await kernel.network.serve(identifiers.address(settings.outward), { routes }),
  ];

  node.start();
  usage.start();
  if (stage() === 'formed' && Option.isSome(fleet)) void reopen(fleet.value);
  else if (stage() === 'copying' && Option.isSome(fleet)) void copy(fleet.value);
  else void form();

  return Either.right({
    node,
    open: cells.ready,
    stop: async function stop() {
      stopped = true;
      usage.stop();
      node.stop();
      for (const entry of listening) await entry.stop();
    },
  });
}

export const core = { start } as const;
