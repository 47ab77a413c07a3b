// What a core and an agent share: finding one another, beats, watched keys, liveness, fence and election (design 3, 4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  http,
  identifiers,
  kernel as kernels,
  type Fault,
  type HttpReply,
  type HttpRoute,
  type Instant,
  type Kernel,
} from '@stallstall/kernel';
import {
  MembershipSchema,
  message,
  ElectedPrimarySchema,
  type Request,
  type Change,
  type CoreSet,
  type Entry,
  type Membership,
  type NodeRole,
  type Reply,
  type Seat,
  type ElectedPrimary,
} from '@stallstall/message';
import { peer, type Handlers, type Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import {
  contentFetcher,
  durableReports,
  durableReportsService,
  proposer,
  registerService,
  watcher,
  type CoreSetSource,
  type DurableReports,
  type ReportReplica,
  type Register,
  type RegisterReplica,
} from '@stallstall/register';
import { quorumLease, quorumLeaseService, termMilliseconds, type QuorumLease } from '@stallstall/quorum-lease';
import {
  election,
  electionService,
  liveness,
  livenessService,
  MemberStateSchema,
  type MemberProbe,
  type PlatformCalls,
  type VoteStore,
} from '@stallstall/election';
import { placements, type Sheet, type SheetMember } from '@stallstall/placement';

export const heartbeatMilliseconds = 200;
const callMilliseconds = 800;

export type NodeSettings = Readonly<{
  node: string;
  area: string;
  /** Where other nodes reach this one, and where members and operators do. */
  address: string;
  outward: string;
  /** Asked at each greeting, since the settings file may change while the process runs. */
  seeds: () => readonly string[];
  /** Asked at each call, since the settings file may change while the process runs. */
  platform: () => string;
}>;

export type Configuration = Readonly<{
  sheet: Sheet;
  sendId: string;
  sentBy: string;
  sentAt: number;
  /** The ids of the latest sends, so that none is taken twice; not pushed. */
  recent: ReadonlyArray<Readonly<{ version: number; sendId: string }>>;
  /** The version its sender gave it and the text as sent, where another platform's operators count versions of their own (design 6.5); the digest of its document, which the ledger holds as well (6.6). */
  external?: Readonly<{ version: number; source: string; digest?: string }>;
  /** Versions before this one, on disks of format 1 alone; archived at the next send. */
  history?: ReadonlyArray<Readonly<{ version: number; sheet: Sheet; sendId: string; sentBy: string; sentAt: number }>>;
}>;

export type Applied<Value> = Readonly<{ version: number; value: Value }>;

/** Where members register by their beats and edges hold leases: what the node asks of whoever keeps these (design 4.7, 7.12). */
export type RegistrationSupport = Readonly<{
  calls: PlatformCalls;
  probe: MemberProbe;
  membersOf: (service: string) => readonly SheetMember[];
  leaseHolders: () => Option.Option<readonly string[]>;
  hasReleased: (service: string, epoch: number, leaseHolders: readonly string[]) => boolean;
  onEpochRaised: () => void;
  /** Another node tells of a newer set of cores (design 4.8). */
  observeCoreSet: (set: CoreSet) => void;
}>;

/** What differs between a core and an agent. */
export type NodeParts = Readonly<{
  role: NodeRole;
  votes: (register: Register) => VoteStore;
  /** A core's own disk, which it asks without a link. */
  own: Option.Option<Readonly<{ target: RegisterReplica; note: ReportReplica; accepted: (key: string) => Option.Option<Entry> }>>;
  /** The most connections to any one member that this edge holds or may hold, by service (design 8.3). */
  caps: () => Readonly<Record<string, number>>;
  onApplied: (key: string) => void;
  onHello: (reply: Reply<'hello'>, address: string) => void;
  registered?: RegistrationSupport;
}>;

export type Node = Readonly<{
  settings: NodeSettings;
  handlers: Handlers;
  routes: readonly HttpRoute[];
  configuration: () => Option.Option<Applied<Configuration>>;
  membership: () => Applied<Membership>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** When the majority of cores last confirmed that nothing newer than what is obeyed here is acknowledged, plus a term. */
  configurationLeaseUntil: () => Instant;
  serviceLeaseUntil: (service: string) => Instant;
  durableReports: DurableReports;
  /** What every other edge last told of its caps; none for one that has told nothing yet. */
  connectionCapsOfOthers: () => ReadonlyArray<Option.Option<Readonly<Record<string, number>>>>;
  /** The epoch this node stands at for each service (design 7.3). */
  epochs: () => Readonly<Record<string, number>>;
  reportedEpochs: () => ReadonlyArray<Readonly<{ node: string; membership: number; epochs: Readonly<Record<string, number>> }>>;
  lastHeartbeatAt: (node: string) => Option.Option<Instant>;
  /** The latest moment after which a majority of cores, this node included where it is one, was asked and has answered (design 7.14). */
  majorityContactAt: () => Instant;
  peerOf: (node: string) => Option.Option<Peer>;
  cores: () => readonly Seat[];
  setCores: (cores: readonly Seat[]) => void;
  /** The set of cores that this node counts majorities of from now on, where it may change: its membership table as well (design 4.8). */
  followCoreSet: (set: CoreSet) => void;
  incarnation: () => number;
  seat: () => Seat;
  fleet: () => string;
  setFleet: (fleet: string) => void;
  /** Takes what a core's own disk accepted, as if it had been pushed. */
  receiveOwnChange: (core: string, change: Change) => void;
  isStale: (node: string, incarnation: number) => boolean;
  start: () => void;
  stop: () => void;
}>;

type Told = Readonly<{ membership: number; epochs: Readonly<Record<string, number>>; caps: Readonly<Record<string, number>>; at: Instant }>;

function create(kernel: Kernel, settings: NodeSettings, parts: NodeParts): Node {
  const ownSeat: Seat = {
    node: settings.node,
    role: parts.role,
    area: settings.area,
    address: settings.address,
    outward: settings.outward,
    draining: false,
  };
  const registered = Option.fromNullable(parts.registered);
  const members = liveness.create(kernel, Option.map((known: RegistrationSupport) => known.probe)(registered));
  const terms: QuorumLease = quorumLease.create();
  const peers = new Map<string, Readonly<{ address: string; peer: Peer }>>();
  const told = new Map<string, Told>();
  const incarnations = new Map<string, number>();
  const confirmations = new Map<string, Readonly<{ sentAt: Instant; configuration: number; membership: number }>>();
  /** When the newest call that a core answered was sent. */
  const answered = new Map<string, Instant>();
  const acknowledged = new Map<string, number>();
  const puts = new Map<string, number>();
  const greeting = new Set<string>();
  let cores: readonly Seat[] = [];
  let followed: Option.Option<CoreSet> = Option.none;
  let fleetName = '';
  let incarnation = 0;
  let stopped = false;
  let wasListed = false;

  function goesOn(): boolean {
    return !stopped;
  }

  function targets(): readonly RegisterReplica[] {
    const remote = cores
      .filter((core) => core.node !== settings.node)
      .map((core): RegisterReplica => ({
        core: core.node,
        send: function ask(kind, body, milliseconds) {
          const held = peers.get(core.node);
          return held === undefined ? Promise.resolve(Option.none) : held.peer.call(kind, body, milliseconds);
        },
      }));
    return Option.isSome(parts.own) ? [parts.own.value.target, ...remote] : remote;
  }

  function noteTargets(): readonly ReportReplica[] {
    const remote = cores
      .filter((core) => core.node !== settings.node)
      .map((core): ReportReplica => (body, milliseconds) => {
        const held = peers.get(core.node);
        return held === undefined ? Promise.resolve(Option.none) : held.peer.call('note', body, milliseconds);
      });
    return Option.isSome(parts.own) ? [parts.own.value.note, ...remote] : remote;
  }

  const sets: CoreSetSource = {
    number: () => (Option.isSome(followed) ? followed.value.number : 0),
    observe: (set) => (Option.isSome(registered) ? registered.value.observeCoreSet(set) : undefined),
  };
  const register = proposer.create(
    kernel,
    settings.node,
    targets,
    () => cores.length,
    sets,
    (key) => (Option.isSome(parts.own) ? parts.own.value.accepted(key) : Option.none),
  );
  const noted = durableReports.create(noteTargets, () => cores.length, sets);
  kernel.services.offer(durableReportsService, noted);
  kernel.services.offer(registerService, register);
  kernel.services.offer(livenessService, members);
  kernel.services.offer(quorumLeaseService, terms);
  const watch = watcher.create(
    kernel,
    register,
    () => cores.length,
    function obeyed(key, entry) {
      kernel.log('node.obeyed', { key, version: entry.version });
      if (key === 'membership') membershipChanged();
      parts.onApplied(key);
    },
    { number: sets.number, includes: (core) => Option.isNone(followed) || cores.some((one) => one.node === core) },
  );

  // A core accepts nearly every configuration itself: what the others push of it needs no content (design 5.6).
  const changes = contentFetcher.create(kernel, { set: sets.number, deliver: watch.receive, stopped: () => stopped });

  function configuration(): Option.Option<Applied<Configuration>> {
    const entry = watch.applied('configuration');
    return Option.isSome(entry) ? Option.some({ version: entry.value.version, value: entry.value.value as Configuration }) : Option.none;
  }

  function membership(): Applied<Membership> {
    if (Option.isSome(followed)) return { version: followed.value.number, value: followed.value };
    const entry = watch.applied('membership');
    return Option.isSome(entry) && message.matches(MembershipSchema, entry.value.value)
      ? { version: entry.value.version, value: entry.value.value }
      : { version: 0, value: quorum.empty };
  }

  function settled(service: string): Option.Option<ElectedPrimary> {
    const entry = watch.applied(`epoch/${service}`);
    return Option.isSome(entry) && message.matches(ElectedPrimarySchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
  }

  /** The sheet as sent; a service whose members register has those of the roster. */
  function sheet(): Option.Option<Sheet> {
    const current = configuration();
    if (Option.isNone(current)) return Option.none;
    const sent = current.value.value.sheet;
    if (Option.isNone(registered)) return Option.some(sent);
    return Option.some({
      ...sent,
      services: sent.services.map((service) =>
        service.registered ? { ...service, members: [...registered.value.membersOf(service.service)] } : service,
      ),
    });
  }

  function otherSeats(): readonly string[] {
    return membership()
      .value.seats.map((seat) => seat.node)
      .filter((node) => node !== settings.node);
  }

  function end(reason: Fault): void {
    if (stopped) return;
    stop();
    kernel.stop(reason);
  }

  function superseded(): void {
    end(
      fault.create({
        kind: 'superseded',
        message: `another process runs as ${settings.node} with a later incarnation than ${incarnation}`,
        remedy: 'run one process for each node id, or give this one an id of its own',
      }),
    );
  }

  /** True when a later incarnation of that node is known here. */
  function isStale(node: string, told: number): boolean {
    const known = incarnations.get(node) ?? 0;
    if (told > known) incarnations.set(node, told);
    return told < known;
  }

  // -- Links to other nodes: one task for each (design 3.2).

  function ensurePeer(seat: Seat): void {
    const held = peers.get(seat.node);
    if (held !== undefined && held.address === seat.address) return;
    held?.peer.close();
    const dialled = peer.dial(kernel, identifiers.address(seat.address), {
      connected: function connected() {
        acknowledged.delete(seat.node);
      },
      changed: function changed(change: Change) {
        acknowledged.set(seat.node, change.number);
        changes.receive(seat.node, Option.some(dialled), change);
      },
    });
    peers.set(seat.node, { address: seat.address, peer: dialled });
    void kernels.every(
      kernel.clock,
      heartbeatMilliseconds,
      () => void beat(seat.node, dialled),
      () => goesOn() && peers.get(seat.node)?.peer === dialled,
    );
    if (seat.role === 'core') {
      void kernels.every(
        kernel.clock,
        heartbeatMilliseconds,
        () => void watchCore(seat.node, dialled),
        () => goesOn() && peers.get(seat.node)?.peer === dialled,
      );
    }
  }

  function membershipChanged(): void {
    const table = membership().value;
    const listed = quorum.seat(table, settings.node) !== undefined;
    // A core that is of its set no more goes on without a seat, and may be given another (design 4.8).
    if (wasListed && !listed && Option.isNone(followed)) {
      end(
        fault.create({
          kind: 'departed',
          message: `${settings.node} was taken out of the membership table`,
          remedy: 'start it again only if it is to join anew',
        }),
      );
      return;
    }
    wasListed = listed;
    for (const seat of table.seats) if (seat.node !== settings.node) ensurePeer(seat);
    for (const [node, held] of peers) {
      if (quorum.seat(table, node) !== undefined || cores.some((core) => core.node === node)) continue;
      held.peer.close();
      peers.delete(node);
      told.delete(node);
      terms.forget(node);
    }
  }

  function epochs(): Readonly<Record<string, number>> {
    const stances: Record<string, number> = {};
    const current = sheet();
    if (Option.isNone(current)) return stances;
    for (const service of current.value.services) {
      const epoch = elections.epochOf(service.service);
      if (Option.isSome(epoch)) stances[service.service] = epoch.value;
    }
    return stances;
  }

  /** Where edges hold leases no core holds a fence of its own: cores tell edges where they stand, and each other only that they run. */
  function toldEpochs(): Record<string, number> {
    return Option.isSome(registered) ? {} : { ...epochs() };
  }

  function takeTold(
    node: string,
    body: Readonly<{ epochs: Record<string, number>; caps: Record<string, number>; membership: number }>,
  ): void {
    told.set(node, { membership: body.membership, epochs: body.epochs, caps: body.caps, at: kernel.clock.now() });
  }

  async function beat(node: string, to: Peer): Promise<void> {
    if (incarnation === 0 || !to.connected()) return;
    const sentAt = kernel.clock.now();
    const reply = await to.call(
      'beat',
      {
        node: settings.node,
        incarnation,
        epochs: toldEpochs(),
        caps: parts.caps(),
        membership: membership().version,
      },
      callMilliseconds,
    );
    if (Option.isNone(reply) || peers.get(node)?.peer !== to) return;
    if (reply.value.superseded) return superseded();
    noteAnswer(node, sentAt);
    takeTold(node, reply.value);
    if (Option.isSome(followed) && reply.value.membership > followed.value.number) void askNewer(to);
    // One that is behind may hold no link to anybody who is further (design 4.8).
    if (Option.isSome(followed) && reply.value.membership < followed.value.number)
      void to.call('adopt', { fleet: fleetName, set: followed.value }, callMilliseconds);
    terms.heard(node, { sentAt, epochs: reply.value.epochs });
  }

  function noteAnswer(node: string, sentAt: Instant): void {
    if (sentAt > (answered.get(node) ?? Number.NEGATIVE_INFINITY)) answered.set(node, sentAt);
  }

  function answeredAt(): Instant {
    const others = cores.filter((core) => core.node !== settings.node);
    const moments = others.map((core) => answered.get(core.node) ?? Number.NEGATIVE_INFINITY);
    const newest = quorum.reachedByMajority(moments, cores.length, Option.isSome(parts.own));
    return identifiers.instant(Math.min(newest, kernel.clock.now()));
  }

  async function askNewer(to: Peer): Promise<void> {
    const reply = await to.call('hello', { seat: ownSeat, incarnation, fleet: fleetName }, callMilliseconds);
    if (Option.isSome(reply) && reply.value.fleet === fleetName && reply.value.set !== undefined) sets.observe(reply.value.set);
  }

  async function watchCore(core: string, to: Peer): Promise<void> {
    if (!to.connected()) return;
    const sentAt = kernel.clock.now();
    const reply = await to.call(
      'watch',
      {
        node: settings.node,
        incarnation,
        acknowledged: acknowledged.get(core) ?? 0,
        obeyed: Option.getOrElse(() => 0)(Option.map((current: Applied<Configuration>) => current.version)(configuration())),
        ...(Option.isSome(parts.own) ? { content: false } : { holds: changes.latestBallot() }),
      },
      callMilliseconds,
    );
    if (Option.isNone(reply) || peers.get(core)?.peer !== to) return;
    if (reply.value.superseded) return superseded();
    if (reply.value.ready) noteAnswer(core, sentAt);
    puts.set(core, Math.max(reply.value.puts, puts.get(core) ?? 0));
    if (reply.value.ready)
      confirmations.set(core, { sentAt, configuration: reply.value.configuration, membership: reply.value.membership });
  }

  /** The version of a key on this core's own disk. */
  function ownVersion(key: string): number {
    const entry = Option.isSome(parts.own) ? parts.own.value.accepted(key) : Option.none;
    return Option.isSome(entry) ? entry.value.version : 0;
  }

  function controlUntil(): Instant {
    const obeyedConfiguration = configuration();
    const configurationVersion = Option.isSome(obeyedConfiguration) ? obeyedConfiguration.value.version : 0;
    const membershipVersion = membership().version;
    const moments: number[] = [];
    for (const core of cores) {
      const confirmed = confirmations.get(core.node);
      if (confirmed !== undefined && confirmed.configuration <= configurationVersion && confirmed.membership <= membershipVersion)
        moments.push(confirmed.sentAt);
    }
    if (Option.isSome(parts.own)) {
      if (ownVersion('configuration') <= configurationVersion && ownVersion('membership') <= membershipVersion)
        moments.push(kernel.clock.now());
    }
    if (cores.length === 0) return identifiers.instant(Number.NEGATIVE_INFINITY);
    return identifiers.after(identifiers.instant(quorum.reachedByMajority(moments, cores.length, false)), termMilliseconds);
  }

  function fenceUntil(service: string): Instant {
    const current = settled(service);
    const stance = elections.epochOf(service);
    const table = membership().value;
    if (Option.isNone(current) || Option.isNone(stance) || quorum.seat(table, settings.node) === undefined)
      return identifiers.instant(Number.NEGATIVE_INFINITY);
    const epoch = current.value.epoch;
    const until = terms.until(service, epoch, otherSeats(), table.seats.length, stance.value === epoch);
    return identifiers.instant(Math.min(until, controlUntil()));
  }

  const elections = election.create(
    kernel,
    {
      self: settings.node,
      calls: Option.map((known: RegistrationSupport) => known.calls)(registered),
      leaseHolders: () => (Option.isSome(registered) ? registered.value.leaseHolders() : Option.none),
      hasReleased: (service, epoch, lessees) => Option.isSome(registered) && registered.value.hasReleased(service, epoch, lessees),
      onEpochRaised: () => (Option.isSome(registered) ? registered.value.onEpochRaised() : undefined),
      membership: () => membership().value,
      membershipVersion: () => membership().version,
      placement: sheet,
      electedPrimary: settled,
      platform: settings.platform,
      propose: function propose(node, ask) {
        const held = peers.get(node);
        return held === undefined ? Promise.resolve(Option.none) : held.peer.call('propose', ask, 2_900);
      },
    },
    parts.votes(register),
  );
  kernel.services.offer(electionService, elections);

  // -- Finding the fleet through the three seeds (design 3.3).

  function setCores(found: readonly Seat[]): void {
    cores = found;
    for (const core of found) if (core.node !== settings.node) ensurePeer(core);
  }

  /** A core with another disk than before counts its puts anew. */
  function forgetPuts(set: CoreSet): void {
    for (const seat of set.seats)
      if (Option.isSome(followed) && quorum.seat(followed.value, seat.node)?.disk !== seat.disk) puts.delete(seat.node);
  }

  function follow(set: CoreSet): void {
    forgetPuts(set);
    followed = Option.some(set);
    setCores(set.seats);
    for (const node of confirmations.keys()) if (quorum.seat(set, node) === undefined) confirmations.delete(node);
    membershipChanged();
    watch.recount();
  }

  async function seed(address: string): Promise<void> {
    const dialled = peer.dial(kernel, identifiers.address(address), { connected: () => void greet() });

    async function greet(): Promise<void> {
      const reply = await dialled.call('hello', { seat: ownSeat, incarnation, fleet: fleetName }, callMilliseconds);
      if (Option.isNone(reply)) return;
      if (reply.value.superseded) superseded();
      parts.onHello(reply.value, address);
      if (parts.role === 'edge' && reply.value.fleet !== '' && reply.value.cores.length > 0 && cores.length === 0) {
        fleetName = reply.value.fleet;
        setCores(reply.value.cores);
      }
    }

    await kernels.every(
      kernel.clock,
      heartbeatMilliseconds,
      greet,
      () => goesOn() && settings.seeds().includes(address) && !(cores.length > 0 && joined()),
    );
    dialled.close();
    greeting.delete(address);
  }

  /** Until this node is part of a fleet, every seed that the settings name by now is greeted. */
  function greetSeeds(): void {
    if (cores.length > 0 && joined()) return;
    for (const address of settings.seeds()) {
      if (address === settings.address || greeting.has(address)) continue;
      greeting.add(address);
      void seed(address);
    }
  }

  function joined(): boolean {
    return incarnation > 0 && quorum.seat(membership().value, settings.node) !== undefined;
  }

  /** A restart is the same node with a later incarnation; the register hands the number out (design 4.1). */
  async function takeIncarnation(): Promise<void> {
    const token = kernel.randomness.token();
    while (goesOn() && incarnation === 0) {
      await kernel.clock.sleep(50);
      if (cores.length === 0) continue;
      const changed = await register.change(`incarnation/${settings.node}`, function next(current) {
        const value = Option.isSome(current) ? (current.value.value as { number: number; token: string }) : { number: 0, token: '' };
        return value.token === token ? Option.none : Option.some({ number: value.number + 1, token });
      });
      if (Either.isRight(changed) && Option.isSome(changed.right.entry)) {
        const value = changed.right.entry.value.value as { number: number; token: string };
        if (value.token === token) incarnation = value.number;
        else return superseded();
      }
    }
  }

  async function join(): Promise<void> {
    let lastReason = '';
    while (goesOn()) {
      await kernel.clock.sleep(heartbeatMilliseconds / 2);
      // Where the set of cores changes by itself, a core asks to be taken in before it is of the fleet (design 4.8).
      if (Option.isSome(registered)) continue;
      const table = membership().value;
      const standing = quorum.seat(table, settings.node);
      if (incarnation === 0 || (standing !== undefined && standing.address === settings.address && standing.outward === settings.outward))
        continue;
      for (const core of cores) {
        const held = peers.get(core.node);
        const reply =
          core.node === settings.node
            ? Option.fromNullable(await handlers.join?.({ seat: ownSeat }, { change: () => undefined, open: () => true }))
            : held === undefined
              ? Option.none
              : await held.peer.call('join', { seat: ownSeat }, 2_000);
        if (Option.isSome(reply) && reply.value.joined) break;
        if (Option.isSome(reply) && reply.value.reason !== lastReason) {
          lastReason = reply.value.reason;
          kernel.log('node.join-waits', { reason: lastReason });
        }
      }
    }
  }

  const handlers: Handlers = {
    hello: function hello(ask): Reply<'hello'> {
      return {
        node: settings.node,
        role: parts.role,
        incarnation,
        fleet: fleetName,
        founding: '',
        cores: [...cores],
        knownPuts: puts.get(ask.seat.node) ?? 0,
        superseded: ask.incarnation > 0 && isStale(ask.seat.node, ask.incarnation),
      };
    },
    beat: function heard(ask): Reply<'beat'> {
      const stale = isStale(ask.node, ask.incarnation);
      if (!stale) takeTold(ask.node, ask);
      return { epochs: toldEpochs(), caps: parts.caps(), membership: membership().version, superseded: stale };
    },
    propose: function propose(ask: Request<'propose'>) {
      return elections.handleProposal(ask);
    },
  };

  const mappings: readonly HttpRoute[] = [
    {
      method: 'POST',
      path: '/v1/members/:member/beat',
      handle: async function heard(request): Promise<HttpReply> {
        const current = sheet();
        if (!message.matches(MemberStateSchema, request.body) || request.body.member !== request.query['member']) {
          return http.rejected(
            fault.create({
              kind: 'bad-request',
              message: 'a beat is {member, role, epoch, received, applied} of the member named in the path',
              remedy: 'send these five fields',
            }),
          );
        }
        if (Option.isNone(current) || placements.member(current.value, request.body.member) === undefined) {
          return http.rejected(
            fault.create({
              kind: 'not-found',
              message: `no sheet names a member ${request.body.member}`,
              remedy: 'add it to the sheet first',
              retryAfterSeconds: 1,
            }),
          );
        }
        members.heartbeat(request.body);
        return { status: 200, body: { heard: true } };
      },
    },
    {
      method: 'GET',
      path: '/live',
      handle: async function live(): Promise<HttpReply> {
        return { status: 200, body: { node: settings.node, live: true } };
      },
    },
  ];

  function tick(): void {
    watch.resolve();
    elections.step();
    const current = sheet();
    if (Option.isSome(current))
      members.keepOnly(new Set(current.value.services.flatMap((service) => service.members.map((member) => member.member))));
  }

  function start(): void {
    void kernels.every(kernel.clock, heartbeatMilliseconds, greetSeeds, goesOn);
    void takeIncarnation();
    void join();
    void kernels.every(kernel.clock, heartbeatMilliseconds, tick, goesOn);
  }

  function stop(): void {
    stopped = true;
    for (const held of peers.values()) held.peer.close();
    members.keepOnly(new Set());
  }

  return {
    settings,
    handlers,
    routes: mappings,
    configuration,
    membership,
    electedPrimary: settled,
    configurationLeaseUntil: controlUntil,
    serviceLeaseUntil: fenceUntil,
    epochs,
    durableReports: noted,
    start,
    stop,
    setCores,
    followCoreSet: follow,
    isStale,
    receiveOwnChange: (core, change) => changes.receive(core, Option.none, change),
    connectionCapsOfOthers: function capsOfOthers() {
      return quorum
        .withRole(membership().value, 'edge')
        .filter((seat) => seat.node !== settings.node)
        .map((seat) => Option.map((entry: Told) => entry.caps)(Option.fromNullable(told.get(seat.node))));
    },
    reportedEpochs: function stances() {
      const others = otherSeats().flatMap((node) => {
        const stance = told.get(node);
        return stance === undefined ? [] : [{ node, membership: stance.membership, epochs: stance.epochs }];
      });
      return [{ node: settings.node, membership: membership().version, epochs: epochs() }, ...others];
    },
    majorityContactAt: answeredAt,
    lastHeartbeatAt: (node) => Option.map((entry: Told) => entry.at)(Option.fromNullable(told.get(node))),
    peerOf: (node) => Option.map((held: Readonly<{ peer: Peer }>) => held.peer)(Option.fromNullable(peers.get(node))),
    cores: () => cores,
    incarnation: () => incarnation,
    seat: () => ownSeat,
    fleet: () => fleetName,
    setFleet: function setFleet(name) {
      fleetName = name;
    },
  };
}

export const node = { create } as const;
