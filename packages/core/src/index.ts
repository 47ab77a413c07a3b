// The core: a disk of the register, pushes, the operators' administration API (design 5, 6, 9).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  http,
  identifiers,
  kernel as kernels,
  owner,
  type Fault,
  type HttpMapping,
  type Kernel,
  type Listening,
} from '@stallstall/kernel';
import {
  MembershipSchema,
  message,
  RosterEntrySchema,
  type Ask,
  type CoreSet,
  type Membership,
  type Reply,
  type Seat,
} from '@stallstall/message';
import { peer, type Caller, type Handlers } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import { acceptor, keeper, registerService, watcher, type RegisterTarget } from '@stallstall/register';
import { node as nodes, beatMilliseconds, type Node, type NodeSettings } from '@stallstall/node';
import { livenessService, type MemberProbe, type PlatformCalls, type Vote } from '@stallstall/elect';
import { lessor as lessors, lessorService, type Lessor } from '@stallstall/lease';
import { roster as rosters, rosterService, type Roster } from '@stallstall/roster';
import { sheets, type SheetMember } from '@stallstall/sheet';
import { Type } from '@sinclair/typebox';
import { administration as administrations } from './administration.js';
import { contact as contacts } from './contact.js';
import { coreCalls } from './core-calls.js';
import { copying as copyings } from './copying.js';
import { cores as coreSets, type Cores } from './cores.js';
import { diskFormat, readFolder, rosterKey } from './data-folder.js';
import type { Door } from './door.js';
import { setOf, standingOf, type Fleet } from './fleet-record.js';
import { spreader as spreaders, type Spreader } from './spreader.js';
import { forPush, subscribers } from './subscribers.js';
import { usage as usages } from './usage.js';
import { versionStore } from './version-store.js';
import { coreVotes } from './votes.js';

export type CoreSettings = NodeSettings & Readonly<{ cores: number; operatorKey?: string | undefined }>;

export type { Door } from './door.js';

/** How a fleet runs where members register, edges hold leases, and the platform has words of its own (design 9.6). */
export type CoreParts = Readonly<{
  calls: PlatformCalls;
  probe: MemberProbe;
  pages: (door: Door) => readonly HttpMapping[];
  /** Where these pages are served. */
  door: string;
  /** Whether this core may form a fleet: only at the very first start of all. */
  founds: boolean;
  /** The seeds of the first start: the first of them proposes the fleet, of all cores that have met it (design 4.8). */
  founders: readonly string[];
}>;

export type Core = Readonly<{ node: Node; open: () => boolean; drain: () => Promise<void>; stop: () => Promise<void> }>;

const graceMilliseconds = 6_000;
/** How long the founder waits for cores that start late. */
const gatherMilliseconds = 700;
const releaseMilliseconds = 2_000;
/** So long a learner that waits for a seat may take to come in before this core ends. */
const leaveMilliseconds = 4_500;
const drainLookMilliseconds = 20;
const reopenLookMilliseconds = 10;
/** An edge that held a lease so lately may still have counts to tell. */
const edgeMemoryMilliseconds = 12_000;
const spreadMilliseconds = 100;
const keepMilliseconds = 300;
const RosterSchema = Type.Array(RosterEntrySchema);
/** So often this core sees that its own connection to whoever leads stands. */
const lookMilliseconds = 300;
const lookHorizonMilliseconds = 800;

async function start(
  kernel: Kernel,
  settings: CoreSettings,
  parts: Option.Option<CoreParts> = Option.none,
): Promise<Either.Either<Fault, Core>> {
  if (Option.isNone(kernel.disk)) {
    return Either.left(fault.create({ kind: 'bad-settings', message: 'a core needs a data folder', remedy: 'name one with --data' }));
  }
  const disk = kernel.disk.value;
  const folder = await readFolder(kernel, disk, settings.node);
  if (Either.isLeft(folder)) return folder;
  const stored = folder.right;

  let fleet: Option.Option<Fleet> = Option.fromNullable(stored.get('fleet') as Fleet | undefined);
  const subscriptions = subscribers.create(stoodAt);
  let stopped = false;
  let ending = false;
  let openedAt = kernel.clock.now();

  let lessor: Option.Option<Lessor> = Option.none;
  let roster: Option.Option<Roster> = Option.none;
  let spreader: Option.Option<Spreader> = Option.none;

  function news(): void {
    if (Option.isSome(lessor)) lessor.value.changed();
  }

  let between = false;
  const standing = Option.isNone(parts)
    ? undefined
    : standingOf(
        () => fleet,
        () => between,
      );
  let coreSet: Option.Option<Cores> = Option.none;

  const cells = acceptor.create(
    disk,
    stored,
    function push(key, entry) {
      if (!watcher.watched(key)) return;
      news();
      subscriptions.push(key, entry);
      feedOwn();
    },
    (error) => kernel.log('disk.damaged', { reason: error.message }),
    standing,
    (entry) => versions.keep(entry),
  );
  const notes = keeper.create(kernel, disk, stored);

  disk.onTrouble(function changed(trouble) {
    if (Option.isSome(trouble)) kernel.log('disk.failed', { reason: trouble.value.message });
    else kernel.log('disk.works', {});
  });

  /** The number of the set that this core stands at, where it may change (design 4.8). */
  function stoodAt(): Readonly<{ set?: number }> {
    return standing === undefined || standing.number() < 0 ? {} : { set: standing.number() };
  }

  /** What is noted counts for the set under which it was told: by who stands there before and after the sync (design 4.8). */
  async function note(ask: Ask<'note'>): Promise<Reply<'note'>> {
    if (standing === undefined) return notes.keep(ask);
    const { set, ...told } = ask;
    const newer = standing.newer(set ?? 0);
    const strange: Reply<'note'> = { ready: false, floors: {}, ...(newer === undefined ? {} : { newer }) };
    if (set !== standing.number()) return strange;
    const reply = await notes.keep(told);
    return set === standing.number() ? reply : strange;
  }

  const votes = coreVotes(disk, stored);
  const calls = coreCalls.create(kernel);
  const copying = copyings.create(kernel, { call: calls.call, cells, notes, votes, stopped: () => stopped });
  const ownTarget: RegisterTarget = {
    core: settings.node,
    local: true,
    ask: async function ask(kind, body) {
      const reply = await cells[kind](body as never);
      return Option.some(reply as never);
    },
  };

  // A fleet is found again though the seeds may by now name none of its cores (design 4.8).
  function seeds(): readonly string[] {
    return [...new Set([...settings.seeds(), ...(Option.isSome(fleet) ? fleet.value.cores.map((core) => core.address) : [])])];
  }
  const node: Node = nodes.create(kernel, Option.isNone(parts) ? settings : { ...settings, seeds }, {
    role: 'core',
    votes: () => votes,
    own: Option.some({ target: ownTarget, note: async (body) => Option.some(await note(body)), accepted: cells.accepted }),
    caps: () => ({}),
    onObeyed: news,
    onHello,
    ...(Option.isNone(parts)
      ? {}
      : {
          registered: {
            calls: parts.value.calls,
            probe: parts.value.probe,
            membersOf,
            lessees: () => (Option.isSome(lessor) ? lessor.value.lessees() : Option.none),
            released: (service, epoch, lessees) => Option.isSome(lessor) && lessor.value.released(service, epoch, lessees),
            onStance: news,
            learn: (set) => (Option.isSome(coreSet) ? coreSet.value.learn(set) : undefined),
          },
        }),
  });

  const contact = contacts.create(kernel, node.answeredAt);
  const versions = versionStore.create(kernel, { disk, node, newest: () => versionOf('configuration') });

  /** A primary that no beat has named yet is not gone: liveness tells whether it is DOWN (design 7.1). */
  function membersOf(service: string): readonly SheetMember[] {
    if (Option.isNone(roster)) return [];
    const members = roster.value.membersOf(service);
    const settled = node.settled(service);
    if (Option.isNone(settled) || Option.isSome(roster.value.entryOf(settled.value.primary))) return members;
    return [...members, { member: settled.value.primary, area: '-', address: '', state: 'serving' }];
  }

  let ownNumber = 0;
  function feedOwn(): void {
    for (const key of cells.keys()) {
      const entry = cells.accepted(key);
      if (!watcher.watched(key) || Option.isNone(entry)) continue;
      ownNumber += 1;
      node.changed(settings.node, { number: ownNumber, key, entry: forPush(key, entry.value), ...stoodAt() });
    }
  }

  const register = kernel.services.find(registerService);
  const usage = usages.create(
    kernel,
    node,
    notes,
    Option.isNone(parts)
      ? Option.none
      : Option.some({
          calls: parts.value.calls,
          edges: () => (Option.isSome(lessor) ? lessor.value.recent(edgeMemoryMilliseconds) : []),
        }),
  );

  // -- Forming the fleet once, or coming back to it (design 4.3).

  const met = new Map<string, Readonly<{ seat: Seat; fleet: string; founding: string; at: number }>>();
  let copyingStarted = false;
  let knownPuts = 0;

  function stage(): 'blank' | Fleet['stage'] {
    return Option.isNone(fleet) ? 'blank' : fleet.value.stage;
  }

  async function keepFleet(next: Fleet): Promise<boolean> {
    const written: Fleet = { ...next, format: diskFormat };
    const kept = await disk.put('fleet', written);
    if (Either.isRight(kept)) fleet = Option.some(written);
    return Either.isRight(kept);
  }

  function open(known: Fleet): void {
    node.setFleet(known.fleet);
    if (Option.isNone(parts)) node.setCores(known.cores);
    else node.follow(setOf(known));
    openedAt = kernel.clock.now();
    cells.open();
    notes.open();
    contact.opened();
    feedOwn();
    news();
    kernel.log('core.open', { fleet: known.fleet, cores: known.cores.length });
  }

  /** What is watched is handed over anew at every set (design 4.8). */
  function moved(known: Fleet): void {
    node.follow(setOf(known));
    subscriptions.pushAll(cells);
    feedOwn();
    news();
  }

  /** Answers nothing any more, and goes on asking whoever has the seats by now: what is in flight here is still finished. */
  function close(set: CoreSet): void {
    cells.close();
    notes.close();
    node.follow(set);
    news();
  }

  async function becomeFormed(known: Fleet): Promise<void> {
    if (await keepFleet({ ...known, stage: 'formed' })) open(known);
  }

  function onHello(reply: Reply<'hello'>, address: string): void {
    if (reply.role !== 'core' || reply.node === settings.node) return;
    met.set(reply.node, {
      seat: { ...node.seat(), node: reply.node, address },
      fleet: reply.fleet,
      founding: reply.founding,
      at: kernel.clock.now(),
    });
    knownPuts = Math.max(knownPuts, reply.knownPuts);
    if (reply.fleet === '') return;
    if (Option.isSome(fleet) && fleet.value.fleet !== reply.fleet) {
      kernel.stop(
        fault.create({
          kind: 'foreign-disk',
          message: `this disk is of fleet ${fleet.value.fleet}, ${reply.node} is of fleet ${reply.fleet}`,
          remedy: 'point the seeds or --data at the right fleet',
        }),
      );
      return;
    }
    if (stage() === 'founding' && Option.isSome(fleet)) void becomeFormed(fleet.value);
    if (Option.isSome(coreSet)) {
      if (reply.set === undefined) return;
      if (stage() === 'formed') coreSet.value.learn(reply.set);
      else if (stage() !== 'founding') coreSet.value.met(reply.fleet, reply.set);
      return;
    }
    if (stage() === 'blank' && reply.cores.some((core) => core.node === settings.node)) {
      void copy({ fleet: reply.fleet, node: settings.node, cores: reply.cores, stage: 'copying' });
    }
  }

  /** Blank cores that the seeds do not name are founders as well: the fleet has so many seats as there are cores at its first start. */
  function greetedBy(ask: Ask<'hello'>): void {
    if (Option.isNone(parts) || stage() !== 'blank' || ask.seat.role !== 'core' || ask.fleet !== '') return;
    met.set(ask.seat.node, { seat: ask.seat, fleet: '', founding: '', at: kernel.clock.now() });
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
      await copying.pages(other, Option.none, epochs);
    }
    await copying.abstain(epochs);
    while (!stopped && !cells.ready()) {
      await becomeFormed(known);
      await kernel.clock.sleep(beatMilliseconds);
    }
  }

  /** A disk that has taken fewer puts than others have heard of is an old copy: as good as lost (design 4.3). */
  async function reopen(): Promise<void> {
    while (!stopped && !cells.ready() && Option.isSome(fleet) && fleet.value.stage === 'formed') {
      // Looked at anew each time: a later set may have become known, one without this core among them.
      const known = fleet.value;
      const others = quorum.majority(known.cores.length) - 1;
      const cores = new Set(known.cores.map((core) => core.node));
      if (knownPuts > disk.puts()) {
        kernel.log('core.old-disk', { puts: disk.puts(), known: knownPuts });
        if (Option.isSome(coreSet)) {
          if (await coreSet.value.distrust()) return coreSet.value.met(known.fleet, setOf(known));
          continue;
        }
        return copy({ ...known, stage: 'copying' });
      }
      if ([...met.values()].filter((core) => core.fleet === known.fleet && cores.has(core.seat.node)).length >= others) {
        if (known.format === diskFormat) open(known);
        else await becomeFormed(known);
      }
      if (!cells.ready()) await kernel.clock.sleep(reopenLookMilliseconds);
    }
  }

  let gatheredSince = kernel.clock.now();
  let gathered = '';

  /** With a number in the settings: the lowest id, once so many have met. With founders: the first of them, once nobody new has come for a while. */
  function mayPropose(everyone: readonly Seat[]): boolean {
    if (Option.isNone(parts)) return everyone.length === settings.cores && everyone[0]?.node === settings.node;
    const names = everyone.map((seat) => seat.node).join(' ');
    if (names !== gathered) {
      gathered = names;
      gatheredSince = kernel.clock.now();
    }
    const { founders } = parts.value;
    return (
      settings.address === [...founders].sort()[0] &&
      founders.every((founder) => everyone.some((seat) => seat.address === founder)) &&
      kernel.clock.now() - gatheredSince >= gatherMilliseconds
    );
  }

  async function form(): Promise<void> {
    while (!stopped && (stage() === 'blank' || stage() === 'founding')) {
      await kernel.clock.sleep(beatMilliseconds);
      const others = [...met.values()].filter((core) => kernel.clock.now() - core.at < 2_000);
      const everyone = [node.seat(), ...others.map((core) => core.seat)].sort((left, right) => (left.node < right.node ? -1 : 1));
      if (!mayPropose(everyone) || others.some((core) => core.fleet !== '')) continue;
      const known: Fleet = Option.isSome(fleet)
        ? fleet.value
        : { fleet: kernel.randomness.token(), node: settings.node, cores: everyone, stage: 'founding' };
      if (Option.isNone(fleet) && !(await keepFleet(known))) continue;
      if (!(await ask(known, 'propose'))) continue;
      await becomeFormed(known);
      await ask(known, 'formed');
    }
  }

  async function ask(known: Fleet, step: 'propose' | 'formed'): Promise<boolean> {
    const replies = await Promise.all(
      known.cores
        .filter((core) => core.node !== settings.node)
        .map(async function one(core) {
          const dialled = peer.dial(kernel, identifiers.address(core.address));
          await kernel.clock.sleep(50);
          const reply = await dialled.call('form', { step, fleet: known.fleet, cores: [...known.cores] }, 1_000);
          dialled.close();
          return Option.isSome(reply) && reply.value.agreed;
        }),
    );
    return replies.every(Boolean);
  }

  async function agree(told: Ask<'form'>): Promise<Reply<'form'>> {
    const known: Fleet = { fleet: told.fleet, node: settings.node, cores: told.cores, stage: 'founding' };
    if (stage() === 'blank' && Option.isSome(disk.lost())) return { agreed: false };
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
    const table =
      Option.isSome(read.right) && message.fits(MembershipSchema, read.right.value.value) ? read.right.value.value : quorum.empty;
    const wanted = next(table);
    if (wanted === table) return Either.right(table);
    const obeying = node
      .stances()
      .filter((stance) => stance.membership === version && (version === 0 || quorum.seat(table, stance.node) !== undefined));
    if (version > 0 && obeying.length < quorum.majority(table.seats.length)) {
      return Either.left(
        fault.create({
          kind: 'no-majority',
          message: `only ${obeying.length} of ${table.seats.length} nodes obey membership ${version} so far`,
          remedy: 'wait until a majority does, then try again',
          retryAfterSeconds: 1,
        }),
      );
    }
    const barrier: Record<string, number> = { ...table.epochs };
    for (const stance of obeying)
      for (const [service, epoch] of Object.entries(stance.epochs)) barrier[service] = Math.max(epoch, barrier[service] ?? 0);
    const changed: Membership = { ...wanted, epochs: barrier };
    const written = await register.change('membership', function put(current) {
      return (Option.isSome(current) ? current.value.version : 0) === version ? Option.some(changed) : Option.none;
    });
    if (Either.isLeft(written)) return written;
    if (!written.right.wrote) {
      return Either.left(
        fault.create({
          kind: 'version-conflict',
          message: 'the membership table changed meanwhile',
          remedy: 'try again',
          retryAfterSeconds: 1,
        }),
      );
    }
    return Either.right(changed);
  }

  const membershipCommands = owner.create('membership', null);

  async function join(ask: Ask<'join'>): Promise<Reply<'join'>> {
    if (Option.isSome(coreSet)) return coreSet.value.join(ask);
    if (!cells.ready()) return { joined: false, reason: 'this core is not open yet' };
    // A node that is listed as it is has only not read the table yet: no step, and what an operator drained stays drained.
    const done = await membershipCommands.ask(() =>
      changeMembership((table) => {
        const listed = quorum.seat(table, ask.seat.node);
        return listed === undefined
          ? quorum.put(table, ask.seat)
          : listed.address === ask.seat.address && listed.outward === ask.seat.outward && listed.area === ask.seat.area
            ? table
            : quorum.put(table, { ...ask.seat, draining: listed.draining });
      }),
    );
    return Either.isRight(done) ? { joined: true, reason: '' } : { joined: false, reason: done.left.message.slice(0, 300) };
  }

  // -- Pushing numbered changes and counting the acknowledgements (design 5.2).

  function versionOf(key: string): number {
    const entry = cells.accepted(key);
    return Option.isSome(entry) ? entry.value.version : 0;
  }

  /** The set of cores is the membership table where edges have no seat (design 4.8). */
  function membershipVersion(): number {
    return standing === undefined ? versionOf('membership') : Math.max(0, standing.number());
  }

  function watch(ask: Ask<'watch'>, caller: Caller): Reply<'watch'> {
    const entry = subscriptions.enlist(cells, ask, caller);
    return {
      ready: cells.ready(),
      number: entry?.number ?? 0,
      configuration: versionOf('configuration'),
      membership: membershipVersion(),
      puts: disk.puts(),
      superseded: ask.incarnation > 0 && node.isStale(ask.node, ask.incarnation),
    };
  }

  /** This core's own votes, and those of edges as far as its cells hold them. */
  async function votedEpochs(): Promise<Readonly<Record<string, number>>> {
    const epochs: Record<string, number> = { ...(await votes.epochs()) };
    for (const cell of cells.cells()) {
      const [kind, service] = cell.key.split('/');
      const vote = cell.state.accepted?.value as Partial<Vote> | undefined;
      if (kind === 'vote' && service !== undefined && typeof vote?.epoch === 'number')
        epochs[service] = Math.max(vote.epoch, epochs[service] ?? 0);
    }
    return epochs;
  }

  if (Option.isSome(parts)) {
    coreSet = Option.some(
      coreSets.create(
        kernel,
        {
          node,
          register,
          call: calls.call,
          cells,
          fleet: () => fleet,
          keepFleet,
          open,
          moved,
          close,
          copying,
        },
        function change(now) {
          between = now;
        },
      ),
    );
  }

  const handlers: Handlers = {
    ...node.handlers,
    hello: async function hello(ask, caller) {
      const reply = await (node.handlers.hello as NonNullable<Handlers['hello']>)(ask, caller);
      greetedBy(ask);
      return {
        ...reply,
        fleet: Option.isSome(fleet) && fleet.value.stage === 'formed' ? fleet.value.fleet : '',
        founding: Option.isSome(fleet) ? fleet.value.fleet : '',
        cores:
          Option.isSome(fleet) && fleet.value.stage === 'formed'
            ? fleet.value.cores.map((core) => quorum.seat(node.membership().value, core.node) ?? core)
            : [],
        ...(Option.isSome(fleet) && Option.isSome(coreSet) && fleet.value.stage === 'formed' ? { set: setOf(fleet.value) } : {}),
      };
    },
    form: agree,
    copy: async function copied(ask) {
      const at = stoodAt();
      const page = await cells.page(ask.after);
      return {
        ready: Either.isRight(page) && cells.ready() && (standing === undefined || at.set !== undefined),
        ...at,
        votes: { ...(await votedEpochs()) },
        notes: notes.all(),
        ...(Either.isRight(page) ? page.right : { entries: [], next: '' }),
      };
    },
    adopt: async (ask) => (Option.isSome(coreSet) ? coreSet.value.adopt(ask) : { adopted: false, silent: [] }),
    prepare: cells.prepare,
    accept: cells.accept,
    look: cells.look,
    watch,
    join,
    note,
    earlier: versions.earlier,
    usageLook: (ask) => notes.look(ask.window),
    spread: function spread(ask) {
      if (Option.isSome(roster)) roster.value.take(ask.beats);
      return { taken: Option.isSome(roster) && cells.ready() };
    },
    lease: async function lease(ask, caller) {
      const granting = lessor;
      if (Option.isNone(granting)) throw new Error('this fleet holds no leases');
      subscriptions.enlist(cells, ask, caller);
      const reply = await granting.value.lease(ask);
      // It may have waited for this core to open: what is watched is handed over before the reply.
      if (reply.ready) subscriptions.enlist(cells, ask, caller);
      const newer = standing?.newer(ask.set ?? 0);
      return { ...reply, ready: reply.ready && stoodAt().set !== undefined, ...stoodAt(), ...(newer === undefined ? {} : { newer }) };
    },
  };

  const administration = administrations.create(kernel, {
    node,
    usage,
    rootKey: settings.operatorKey,
    ready: () => cells.ready() && !ending,
    versionOf,
    accepted: cells.accepted,
    changeMembership: (next) => membershipCommands.ask(() => changeMembership(next)),
    obeyed: subscriptions.obeyed,
    diskBytes: disk.size,
    diskTrouble: disk.trouble,
    versions,
    metrics: () => ({
      cells: cells.keys().length,
      puts: disk.puts(),
      diskBytes: disk.size(),
      ...subscriptions.metrics(),
    }),
  });

  // -- Members that register, and edges that hold leases (design 4.7, 7.12).

  let spreading = false;
  let keeping = false;

  if (Option.isSome(parts)) {
    const kept = rosters.create(kernel, rosterChanged);
    const known = stored.get(rosterKey);
    // Where members were, until their beats tell: after a stop of everything nobody waits for these (design 4.7).
    if (message.fits(RosterSchema, known)) kept.restore(known);
    roster = Option.some(kept);
    spreader = Option.some(spreaders.create(kernel, node, kept));
    kernel.services.offer(rosterService, kept);
    const granting = lessors.create(kernel, {
      ready: () => cells.ready() && !ending,
      openedAt: () => openedAt,
      stances: node.epochs,
      configuration: () => versionOf('configuration'),
      membership: membershipVersion,
      puts: disk.puts,
      roster: kept,
      troubled: isTroubled,
      onNotListening: lookAt,
    });
    lessor = Option.some(granting);
    kernel.services.offer(lessorService, granting);
  }

  /** Beats taken here go to the other cores, several at a time; a change at once. */
  function spreadBeats(): void {
    if (Option.isSome(spreader) && !stopped) spreader.value.spread();
  }

  /** The roster as it stands goes to the disk now and then: it saves time after a restart, and nothing leans on it. */
  function keepRoster(): void {
    if (keeping || stopped) return;
    keeping = true;
    kernel.clock.alarm(keepMilliseconds, async function keep() {
      keeping = false;
      if (Option.isSome(roster) && !stopped) await disk.put(rosterKey, roster.value.since(0));
    });
  }

  function rosterChanged(): void {
    news();
    keepRoster();
    if (spreading) return;
    spreading = true;
    kernel.clock.alarm(1, function now() {
      spreading = false;
      spreadBeats();
    });
  }

  /** A look of this core's own at a member, whose outcome liveness keeps. */
  function lookAt(member: string): void {
    const entry = Option.isSome(roster) ? roster.value.entryOf(member) : Option.none;
    if (Option.isSome(entry) && !entry.value.gone)
      void kernel.services.find(livenessService).hold(entry.value.service, member, entry.value.address, lookHorizonMilliseconds);
  }

  /** Some service has no leader that is up and stands where all agree. */
  function isTroubled(): boolean {
    const current = node.configuration();
    if (Option.isNone(current)) return false;
    const stances = node.epochs();
    return current.value.value.sheet.services.some(function troubled(service) {
      const settled = node.settled(service.service);
      if (!service.registered || Option.isNone(settled)) return false;
      const entry = Option.isSome(roster) ? roster.value.entryOf(settled.value.primary) : Option.none;
      return (stances[service.service] ?? 0) > settled.value.epoch || Option.isNone(entry) || entry.value.down || entry.value.gone;
    });
  }

  function lookAtPrimaries(): void {
    const current = node.configuration();
    if (Option.isNone(current)) return;
    for (const service of current.value.value.sheet.services) {
      const settled = node.settled(service.service);
      if (service.registered && Option.isSome(settled)) lookAt(settled.value.primary);
    }
  }

  function notOpen(): Fault {
    return fault.create({
      kind: 'no-majority',
      message: 'this core is of no fleet yet',
      remedy: 'turn to another core',
      retryAfterSeconds: 1,
    });
  }

  const door: Door = {
    ready: () => cells.ready() && !ending,
    configure: async function configure(external, sheet) {
      if (!cells.ready()) return Either.left(notOpen());
      const checked = sheets.check(sheet);
      return Either.isLeft(checked) ? checked : contact.during(() => administration.configure(external, checked.right));
    },
    source: async () => (cells.ready() ? contact.during(administration.source) : Either.left(notOpen())),
    // One that is of no fleet could tell nobody, nor one that no majority answers: who calls turns to another.
    beat: async function beat(registration) {
      if (Option.isNone(roster) || Option.isNone(spreader) || !cells.ready()) return false;
      roster.value.beat(registration);
      return contact.inTouch() && (!registration.draining || spreader.value.confirm(registration.member));
    },
    leave: async function leave(member) {
      if (Option.isNone(roster) || Option.isNone(spreader) || !cells.ready()) return false;
      roster.value.leave(member);
      return contact.inTouch() && spreader.value.confirm(member);
    },
  };

  if (Option.isSome(parts)) {
    void kernels.every(
      kernel.clock,
      spreadMilliseconds,
      function round() {
        if (Option.isSome(roster)) roster.value.step();
        spreadBeats();
      },
      () => !stopped,
    );
    void kernels.every(kernel.clock, lookMilliseconds, lookAtPrimaries, () => !stopped);
  }

  const pages = http.counted([
    ...node.mappings,
    ...administration.mappings.map(contact.guard),
    ...(Option.isSome(parts) ? parts.value.pages(door) : []),
  ]);
  const doorPages = Option.isSome(parts) ? new Set(parts.value.pages(door).map((one) => `${one.method} ${one.path}`)) : new Set<string>();
  const listening: readonly Listening[] = [
    await peer.listen(kernel, identifiers.address(settings.address), handlers),
    await kernel.network.serve(identifiers.address(settings.outward), {
      mappings: pages.mappings.filter((one) => !doorPages.has(`${one.method} ${one.path}`)),
    }),
    ...(Option.isSome(parts)
      ? [
          await kernel.network.serve(identifiers.address(parts.value.door), {
            mappings: pages.mappings.filter((one) => doorPages.has(`${one.method} ${one.path}`)),
          }),
        ]
      : []),
  ];

  node.start();
  await versions.start();
  usage.start();
  if (Option.isSome(coreSet)) coreSet.value.start();
  if (stage() === 'formed') void reopen();
  else if (Option.isNone(coreSet) && stage() === 'copying' && Option.isSome(fleet)) void copy(fleet.value);
  // One that lost what it held founds nothing: there was a fleet, and what it acknowledged must not be forgotten (design 4.3).
  else if (Option.isNone(disk.lost()) && (Option.isNone(parts) || parts.value.founds)) void form();

  async function stop(): Promise<void> {
    stopped = true;
    versions.stop();
    if (Option.isSome(coreSet)) coreSet.value.stop();
    if (Option.isSome(lessor)) lessor.value.stop();
    void usage.stop();
    node.stop();
    calls.stop();
    for (const entry of listening) await entry.stop();
  }

  /** Fails readiness, hands its duty on, answers what is in flight, then stops (design 7.10). */
  async function drain(): Promise<void> {
    ending = true;
    const horizon = identifiers.after(kernel.clock.now(), graceMilliseconds);
    await Promise.all([
      Promise.race([usage.stop(), kernel.clock.sleep(releaseMilliseconds)]),
      Option.isSome(coreSet) ? coreSet.value.leave(identifiers.after(kernel.clock.now(), leaveMilliseconds)) : undefined,
    ]);
    while (kernel.clock.now() < horizon && pages.inFlight() > 0) await kernel.clock.sleep(drainLookMilliseconds);
    await stop();
  }

  return Either.right({ node, open: cells.ready, stop, drain });
}

export { claimsKept, ledger, type Ledger } from './ledger.js';
export { versionBytesMost, versionStore, type VersionStore } from './version-store.js';
export const core = { start } as const;

// For the exploration of design 10.4, which runs these over a network and disks of its own.
export { cores, type Cores } from './cores.js';
export { copying } from './copying.js';
export type { CoreCall } from './core-calls.js';
export { setOf, standingOf, type Fleet } from './fleet-record.js';
