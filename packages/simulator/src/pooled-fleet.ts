// An in-memory fleet of the pooled mode: cores that grant leases, edges that hold them, members that register, senders with sessions (design 10.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { lesseeAgent, type LesseeAgent } from '@stallstall/agent';
import { core, type Core, type CoreParts, type Door } from '@stallstall/core';
import { fault, http, identifiers, kernel as kernels, type Fault, type HttpMapping, type HttpReply, type Kernel } from '@stallstall/kernel';
import type { MemberProbe, PlatformCalls } from '@stallstall/elect';
import { pooler, type Pooler } from '@stallstall/pooler';
import type { Registration } from '@stallstall/roster';
import { prober, type Condition, type StatementReply } from '@stallstall/statement';
import {
  areas,
  plainDialect,
  sessionMember,
  sessionPlatform,
  sessionSender,
  type SessionDatabase,
  type SessionLedger,
  type SessionLine,
  type SessionMember,
  type SessionMemberStore,
  type SessionPlatform,
  type SessionPlatformStore,
  type SessionRun,
} from '@stallstall/stand-in';
import type { OrderCall } from './order-checks.js';
import { world as worlds, type Process, type SimulatedDisk, type World } from './world.js';

export type PooledCore = {
  readonly name: string;
  readonly machine: string;
  readonly area: string;
  readonly host: string;
  /** What its settings named when it last read them. */
  seeds: readonly string[];
  disk: SimulatedDisk;
  process: Process | undefined;
  running: Core | undefined;
};
export type PooledEdge = {
  readonly name: string;
  readonly machine: string;
  readonly area: string;
  agentProcess: Process | undefined;
  agent: LesseeAgent | undefined;
  proxyProcess: Process | undefined;
  proxy: Pooler | undefined;
  /** What its settings named when it last read them. */
  seeds: readonly string[];
  /** Grows with every start: one life of its processes. */
  life: number;
};
export type PooledMember = {
  readonly service: string;
  readonly member: string;
  readonly area: string;
  readonly machine: string;
  readonly address: string;
  readonly control: string;
  store: SessionMemberStore;
  process: Process | undefined;
  running: SessionMember | undefined;
  /** Taken out for good. */
  gone: boolean;
};

export type PooledTenant = Readonly<{ tenant: string; keys: readonly string[] }>;
export type PooledSheet = Readonly<{
  services: ReadonlyArray<Readonly<{ service: string; connectionLimit: number; registered: boolean; synchronousReplicas: number }>>;
  databases: ReadonlyArray<
    Readonly<{
      database: string;
      service: string;
      reads: 'leader' | 'bounded' | 'own';
      staleMilliseconds: number;
      horizonMilliseconds: number;
      aimMilliseconds: number;
      open?: boolean;
    }>
  >;
  tenants: readonly PooledTenant[];
  rows: readonly never[];
  keys: readonly never[];
  bounds: Readonly<{ restMilliseconds: number }>;
  outages?: readonly unknown[];
}>;
/** A version as sent; `acknowledgedAt` is infinite while nobody has acknowledged it. A refused one must never be in force. */
export type PooledVersion = {
  readonly version: number;
  readonly sheet: PooledSheet;
  readonly sentAt: number;
  acknowledgedAt: number;
  refused: boolean;
};

export type PooledOptions = Readonly<{
  edges?: number;
  services?: number;
  synchronous?: number;
  slots?: number;
  workMilliseconds?: number;
  restMilliseconds?: number;
  connectionLimit?: number;
  applyMilliseconds?: number;
  /** Counts what is sent over links. */
  weighing?: boolean;
}>;

/** Which share of the replies to operators is lost on the way. */
export type OperatorTrouble = { lostShare: number };

export type PooledFleet = Readonly<{
  world: World;
  /** Those in use; a successor joins them, and whoever it replaces leaves. */
  cores: readonly PooledCore[];
  edges: readonly PooledEdge[];
  members: PooledMember[];
  platform: () => SessionPlatform;
  platformProcess: () => Process;
  operatorTrouble: OperatorTrouble;
  platformStore: SessionPlatformStore;
  ledger: SessionLedger;
  runs: SessionRun[];
  versions: PooledVersion[];
  /** Every order that an operator sent, with what came of it. */
  orderCalls: OrderCall[];
  services: readonly string[];
  firstSheet: () => PooledSheet;
  startAll: () => Promise<void>;
  startCore: (slot: PooledCore) => Promise<void>;
  stopCore: (slot: PooledCore) => void;
  /** A machine that nobody has met, at another address, with an empty disk. */
  addCore: (area: string) => PooledCore;
  /** Takes a machine out of use for good; members and operators turn to the successor instead. */
  removeCore: (slot: PooledCore, successor: PooledCore) => void;
  coreAddress: (slot: PooledCore) => string;
  /** Writes other seeds to the settings of all machines; a process knows them once it has read them. */
  nameSeeds: (seeds: readonly string[]) => void;
  readSettings: (slot: PooledCore | PooledEdge) => void;
  startEdge: (slot: PooledEdge) => Promise<void>;
  killEdge: (slot: PooledEdge) => void;
  /** SIGTERM to both of its processes; right once both have ended. */
  drainEdge: (slot: PooledEdge) => Promise<void>;
  freezeEdge: (slot: PooledEdge, milliseconds: number) => void;
  startMember: (slot: PooledMember) => Promise<void>;
  stopMember: (slot: PooledMember) => void;
  addMember: (service: string, area: string) => PooledMember;
  /** An operator that sends a version until it is acknowledged. */
  configure: (version: number, sheet: PooledSheet, coreIndex: number) => Promise<boolean>;
  /** An operator that sends a version that was sent before once more, until it gets a clear reply. */
  resend: (sent: PooledVersion, coreIndex: number) => Promise<boolean>;
  /** One call of an operator. */
  order: (sent: Pick<PooledVersion, 'version' | 'sheet'>, coreIndex: number) => Promise<OrderCall>;
  readBack: (coreIndex: number) => Promise<Option.Option<Readonly<{ version: number; sheet: unknown }>>>;
  call: (coreIndex: number, path: string, body: unknown) => Promise<HttpReply>;
  /** A session of a sender, at a given edge. */
  session: (slot: PooledEdge, database: string, who: string) => Promise<SessionLine | Condition | 'cut' | 'silent'>;
  ask: (line: SessionLine, text: string, milliseconds?: number) => Promise<Option.Option<StatementReply>>;
  /** Bytes on a connection of its own; what came back until the other side closed, or for so long. */
  rawTo: (address: string, pieces: readonly string[], milliseconds: number) => Promise<string>;
  raw: (slot: PooledEdge, pieces: readonly string[], milliseconds: number) => Promise<string>;
  startSenders: (sessions: number, thinkMilliseconds: number) => Readonly<{ stop: () => void }>;
  primaryOf: (service: string) => PooledMember | undefined;
  until: (condition: () => boolean, milliseconds: number) => Promise<boolean>;
  drive: <Result>(work: Promise<Result>, milliseconds?: number) => Promise<Result>;
  machines: () => readonly string[];
}>;

export const ownTenant = 'stallstall-itself';
export const firstKey = 'key-one';
export const spareKey = 'key-spare';
const graceMilliseconds = 6_000;
const readinessMilliseconds = 1_000;
const readinessHorizonMilliseconds = 500;
const operatorHorizonMilliseconds = 1_000;
const operatorPauseMilliseconds = 300;
const operatorShots = 40;
/** A member must be heard by whoever takes its beats before it counts; a door that cannot be of use turns it away. */
const away: HttpReply = { status: 503, body: {} };

/** The stand-ins' pages of a core's door. */
function pages(door: Door): readonly HttpMapping[] {
  return [
    {
      method: 'POST',
      path: '/members/:member/beat',
      handle: async function beat(request) {
        const told = request.body as Omit<Registration, 'member'>;
        return (await door.beat({ ...told, member: request.query['member'] ?? '' })) ? { status: 200, body: {} } : away;
      },
    },
    {
      method: 'POST',
      path: '/members/:member/leave',
      handle: async (request) => ((await door.leave(request.query['member'] ?? '')) ? { status: 200, body: {} } : away),
    },
    {
      method: 'POST',
      path: '/configuration',
      handle: async function configure(request) {
        const { version, sheet } = request.body as Readonly<{ version: number; sheet: unknown }>;
        const taken = await door.configure({ version, source: JSON.stringify({ version, sheet }) }, sheet);
        return Either.isLeft(taken) ? http.denied(taken.left) : { status: 200, body: {} };
      },
    },
    {
      method: 'GET',
      path: '/configuration',
      handle: async function read() {
        const source = await door.source();
        return Either.isLeft(source) ? http.denied(source.left) : { status: 200, body: JSON.parse(source.right) as unknown };
      },
    },
  ];
}

const calls: PlatformCalls = {
  restMilliseconds: 3_000,
  promotion: ({ service, member, turn, holder }) => ({
    repeatable: 'unchanged',
    method: 'POST',
    path: '/duties/promotion',
    headers: { holder, turn: String(turn) },
    body: { service, member },
  }),
  usage: ({ window, counts, turn, holder }) => ({
    repeatable: 'unchanged',
    method: 'POST',
    path: '/duties/usage',
    headers: { holder, turn: String(turn) },
    body: { window, counts },
  }),
};

function memberProbe(kernel: Kernel): MemberProbe {
  const probes = prober.create(kernel, plainDialect, ownTenant);
  return {
    hold: probes.hold,
    ask: async function ask(service, member, address, milliseconds) {
      const standing = await probes.ask(service, member, address, milliseconds);
      if (Either.isLeft(standing)) return standing;
      const { role, term, received } = standing.right;
      return Either.right({ member, role, epoch: received.term, received: received.number, applied: received.number, term });
    },
  };
}

function create(seed: number, options: PooledOptions = {}): PooledFleet {
  const world = worlds.create(seed, options.weighing);
  const services = ['bookings', 'maps'].slice(0, options.services ?? 2);
  let coresEver = 0;
  const cores: PooledCore[] = [1, 2, 3].map((index) => coreSlot(areas[index - 1] as string));
  const edges: readonly PooledEdge[] = Array.from({ length: options.edges ?? 3 }, (_, index) => ({
    name: `edge-${index + 1}`,
    machine: `edge-machine-${index + 1}`,
    area: areas[index % areas.length] as string,
    agentProcess: undefined,
    agent: undefined,
    proxyProcess: undefined,
    proxy: undefined,
    seeds: [],
    life: 0,
  }));
  const members: PooledMember[] = services.flatMap((service, serviceIndex) =>
    areas.map((area, index): PooledMember => memberSlot(service, serviceIndex, area, index + 1)),
  );
  const platformStore = sessionPlatform.emptyStore();
  const ledger = sessionSender.emptyLedger();
  const runs: SessionRun[] = [];
  const versions: PooledVersion[] = [];
  const orderCalls: OrderCall[] = [];
  const operator = world.spawn('operator', 'operator-machine').kernel;
  const senders = world.spawn('senders', 'sender-machine').kernel;
  const chooser = world.spawn('chooser', 'chooser-machine').kernel;
  const platformAddress = '10.4.0.1:9000';
  let platformSlot: SessionPlatform | undefined;
  let platformProcess: Process | undefined;
  const operatorTrouble: OperatorTrouble = { lostShare: 0 };

  function coreSlot(area: string): PooledCore {
    coresEver += 1;
    return {
      name: `core-${coresEver}`,
      machine: `core-machine-${coresEver}`,
      area,
      host: `10.1.0.${coresEver}`,
      seeds: [],
      disk: world.disk(),
      process: undefined,
      running: undefined,
    };
  }

  function memberSlot(service: string, serviceIndex: number, area: string, number: number): PooledMember {
    const host = `10.3.${serviceIndex}.${number}`;
    return {
      service,
      member: `${service}-${number}`,
      area,
      machine: `member-machine-${service}-${number}`,
      address: `${host}:5000`,
      control: `${host}:5001`,
      store: sessionMember.emptyStore(),
      process: undefined,
      running: undefined,
      gone: false,
    };
  }

  function coreAddresses(slot: PooledCore): Readonly<{ address: string; outward: string; door: string }> {
    return { address: `${slot.host}:7000`, outward: `${slot.host}:7001`, door: `${slot.host}:7002` };
  }

  function edgeAddresses(slot: PooledEdge): Readonly<{ feed: string; outward: string; senders: string }> {
    const host = `10.2.0.${edges.indexOf(slot) + 1}`;
    return { feed: `${host}:7000`, outward: `${host}:7001`, senders: `${host}:8000` };
  }

  const founders = cores.map((slot) => coreAddresses(slot).address);
  /** Where members find cores: read anew at each beat. */
  const doors = cores.map((slot) => coreAddresses(slot).door);
  let namedSeeds: readonly string[] = founders;
  let first = true;

  function readSettings(slot: PooledCore | PooledEdge): void {
    slot.seeds = namedSeeds;
  }

  function addCore(area: string): PooledCore {
    const slot = coreSlot(area);
    cores.push(slot);
    return slot;
  }

  function removeCore(slot: PooledCore, successor: PooledCore): void {
    cores.splice(cores.indexOf(slot), 1);
    doors[doors.indexOf(coreAddresses(slot).door)] = coreAddresses(successor).door;
  }

  async function startCore(slot: PooledCore): Promise<void> {
    const spawned = world.spawn(slot.name, slot.machine, slot.disk);
    slot.process = spawned;
    readSettings(slot);
    const { address, outward, door } = coreAddresses(slot);
    const parts: CoreParts = { calls, probe: memberProbe(spawned.kernel), pages, door, founds: first, founders };
    const started = await core.start(
      spawned.kernel,
      {
        node: slot.name,
        area: slot.area,
        address,
        outward,
        seeds: () => slot.seeds,
        platform: () => platformAddress,
        cores: 3,
      },
      Option.some(parts),
    );
    if (Either.isLeft(started)) spawned.kernel.stop(started.left);
    else slot.running = started.right;
  }

  function stopCore(slot: PooledCore): void {
    if (slot.process !== undefined) world.kill(slot.process);
    slot.running = undefined;
  }

  async function startEdge(slot: PooledEdge): Promise<void> {
    const { feed, outward, senders: address } = edgeAddresses(slot);
    slot.life += 1;
    readSettings(slot);
    slot.agentProcess = world.spawn(`${slot.name}/agent`, slot.machine);
    slot.agent = await lesseeAgent.start(slot.agentProcess.kernel, { node: slot.name, area: slot.area, feed, seeds: () => slot.seeds });
    slot.proxyProcess = world.spawn(`${slot.name}/proxy`, slot.machine);
    slot.proxy = await pooler.start(
      slot.proxyProcess.kernel,
      { address, outward, feed, graceMilliseconds },
      {
        dialect: plainDialect,
        pages: (ready) => [{ method: 'GET', path: '/ready', handle: async () => ({ status: ready() ? 200 : 503, body: {} }) }],
      },
    );
  }

  function killEdge(slot: PooledEdge): void {
    for (const process of [slot.agentProcess, slot.proxyProcess]) if (process !== undefined) world.kill(process);
    slot.agent = undefined;
    slot.proxy = undefined;
  }

  async function drainEdge(slot: PooledEdge): Promise<void> {
    const { agent, proxy, agentProcess, proxyProcess } = slot;
    const ended = Promise.all([
      agent?.drain().then(() => void (agentProcess !== undefined && world.kill(agentProcess))),
      proxy?.drain().then(() => void (proxyProcess !== undefined && world.kill(proxyProcess))),
    ]);
    await Promise.race([ended, operator.clock.sleep(graceMilliseconds)]);
    killEdge(slot);
  }

  async function startMember(slot: PooledMember): Promise<void> {
    const spawned = world.spawn(slot.member, slot.machine);
    slot.process = spawned;
    slot.running = await sessionMember.start(
      spawned.kernel,
      {
        service: slot.service,
        member: slot.member,
        area: slot.area,
        address: slot.address,
        control: slot.control,
        doors,
        connectionLimit: options.connectionLimit ?? 60,
        slots: options.slots ?? 10,
        workMilliseconds: options.workMilliseconds ?? 8,
        openMilliseconds: 10,
        applyMilliseconds: options.applyMilliseconds ?? 8,
        synchronousReplicas: options.synchronous ?? 0,
        drainMilliseconds: 7_000,
      },
      slot.store,
      (run) => void runs.push(run),
    );
  }

  function stopMember(slot: PooledMember): void {
    if (slot.process !== undefined) world.kill(slot.process);
    slot.running = undefined;
  }

  function addMember(service: string, area: string): PooledMember {
    const slot = memberSlot(service, services.indexOf(service), area, members.filter((one) => one.service === service).length + 1);
    members.push(slot);
    return slot;
  }

  async function startAll(): Promise<void> {
    platformProcess = world.spawn('platform', 'platform-machine');
    platformSlot = await sessionPlatform.start(
      platformProcess.kernel,
      {
        address: platformAddress,
        promoteMilliseconds: 100,
        members: () =>
          members.map((slot) => ({
            service: slot.service,
            member: slot.member,
            control: slot.control,
            runs: () => !slot.gone && slot.process?.alive() === true,
            lead: (term) => slot.running?.lead(term),
            follow: function follow(term, primary) {
              if (slot.running === undefined) sessionMember.follow(slot.store, term, primary);
              else slot.running.follow(term, primary);
            },
          })),
      },
      platformStore,
    );
    for (const slot of members) await startMember(slot);
    for (const slot of cores) await startCore(slot);
    first = false;
    for (const slot of edges) await startEdge(slot);
  }

  function firstSheet(): PooledSheet {
    return {
      services: services.map((service) => ({
        service,
        connectionLimit: options.connectionLimit ?? 60,
        registered: true,
        synchronousReplicas: options.synchronous ?? 0,
      })),
      databases: services.flatMap((service) => [
        {
          database: `${service}-lead`,
          service,
          reads: 'leader' as const,
          staleMilliseconds: 0,
          horizonMilliseconds: 1_200,
          aimMilliseconds: 200,
        },
        {
          database: `${service}-late`,
          service,
          reads: 'bounded' as const,
          staleMilliseconds: 1_500,
          horizonMilliseconds: 2_000,
          aimMilliseconds: 800,
        },
        {
          database: `${service}-own`,
          service,
          reads: 'own' as const,
          staleMilliseconds: 2_500,
          horizonMilliseconds: 1_000,
          aimMilliseconds: 200,
        },
      ]),
      tenants: [
        { tenant: 'tenant-one', keys: [firstKey, spareKey] },
        { tenant: 'tenant-two', keys: ['key-two'] },
      ],
      rows: [],
      keys: [],
      bounds: { restMilliseconds: options.restMilliseconds ?? 1_500 },
    };
  }

  function exchanged(reply: Either.Either<Fault, HttpReply>): HttpReply {
    return Either.isRight(reply) ? reply.right : { status: 0, body: fault.body(reply.left) };
  }

  async function call(coreIndex: number, path: string, body: unknown): Promise<HttpReply> {
    const address = identifiers.address(coreAddresses(cores[coreIndex] as PooledCore).door);
    return exchanged(
      await http.once(operator, address, { method: body === undefined ? 'GET' : 'POST', path, body }, operatorHorizonMilliseconds),
    );
  }

  /** The reply as the operator hears it: one that is lost on the way is silence. */
  function arrived(reply: HttpReply): HttpReply {
    const lost = operatorTrouble.lostShare > 0 && world.fraction() < operatorTrouble.lostShare;
    return lost ? { status: 0, body: {} } : reply;
  }

  async function order({ version, sheet }: Pick<PooledVersion, 'version' | 'sheet'>, coreIndex: number): Promise<OrderCall> {
    const sentAt = operator.clock.now();
    const reply = arrived(await call(coreIndex, '/configuration', { version, sheet }));
    const clear = reply.status === 200 ? 'acknowledged' : reply.status >= 400 && reply.status < 500 ? 'refused' : 'none';
    const done: OrderCall = {
      number: version,
      text: JSON.stringify(sheet),
      core: coreIndex,
      sentAt,
      endedAt: operator.clock.now(),
      outcome: clear,
    };
    orderCalls.push(done);
    return done;
  }

  /** Goes on to other cores until one replies clearly. */
  async function resend(sent: PooledVersion, coreIndex: number): Promise<boolean> {
    for (let shot = 0; shot < operatorShots; shot += 1) {
      const { outcome } = await order(sent, (coreIndex + shot) % cores.length);
      if (outcome === 'acknowledged') sent.acknowledgedAt = Math.min(sent.acknowledgedAt, operator.clock.now());
      if (outcome === 'refused') sent.refused = true;
      if (outcome !== 'none') return outcome === 'acknowledged';
      await operator.clock.sleep(operatorPauseMilliseconds);
    }
    return false;
  }

  function configure(version: number, sheet: PooledSheet, coreIndex: number): Promise<boolean> {
    const sent: PooledVersion = {
      version,
      sheet,
      sentAt: operator.clock.now(),
      acknowledgedAt: Number.POSITIVE_INFINITY,
      refused: false,
    };
    versions.push(sent);
    return resend(sent, coreIndex);
  }

  async function readBack(coreIndex: number): Promise<Option.Option<Readonly<{ version: number; sheet: unknown }>>> {
    const reply = await call(coreIndex, '/configuration', undefined);
    return reply.status === 200 ? Option.some(reply.body as Readonly<{ version: number; sheet: unknown }>) : Option.none;
  }

  async function drive<Result>(work: Promise<Result>, milliseconds = 30_000): Promise<Result> {
    let done = false;
    void work.then(() => {
      done = true;
    });
    for (let spent = 0; !done && spent < milliseconds; spent += 1) await world.run(1);
    if (!done) throw new Error(`the fleet gave no reply in ${milliseconds} ms of virtual time`);
    return work;
  }

  async function session(slot: PooledEdge, database: string, who: string): Promise<SessionLine | Condition | 'cut' | 'silent'> {
    const opened = await drive(sessionSender.open(senders, edgeAddresses(slot).senders, database, who));
    return 'line' in opened ? opened.line : opened.outcome;
  }

  let asked = 0;
  function ask(line: SessionLine, text: string, milliseconds = 5_000): Promise<Option.Option<StatementReply>> {
    asked += 1;
    return drive(line.query(`story-${asked}`, text, milliseconds));
  }

  async function rawTo(address: string, pieces: readonly string[], milliseconds: number): Promise<string> {
    const opened = await drive(senders.network.openStream(identifiers.address(address), 2_000));
    if (Either.isLeft(opened)) return '';
    let heard = '';
    let over = false;
    async function listen(stream: typeof opened): Promise<void> {
      if (Either.isLeft(stream)) return;
      for (;;) {
        const piece = await stream.right.read();
        if (Option.isNone(piece)) break;
        heard += piece.value;
      }
      over = true;
    }
    void listen(opened);
    for (const piece of pieces) opened.right.write(piece);
    await until(() => over, milliseconds);
    opened.right.reset();
    return heard;
  }

  const missed = new Map<PooledEdge, number>();

  /** The platform's own choice of edges: one that misses two readings is left out until it replies again. */
  async function readiness(slot: PooledEdge): Promise<void> {
    const reply = await http.once(
      chooser,
      identifiers.address(edgeAddresses(slot).outward),
      { method: 'GET', path: '/ready' },
      readinessHorizonMilliseconds,
    );
    missed.set(slot, Either.isRight(reply) && reply.right.status === 200 ? 0 : (missed.get(slot) ?? 2) + 1);
  }

  function startSenders(sessions: number, thinkMilliseconds: number): Readonly<{ stop: () => void }> {
    for (const slot of edges)
      void kernels.every(
        chooser.clock,
        readinessMilliseconds,
        () => readiness(slot),
        () => true,
      );
    return sessionSender.start(
      senders,
      {
        sessions,
        thinkMilliseconds,
        longRestMilliseconds: (options.restMilliseconds ?? 1_500) + 1_200,
        edges: function chosen() {
          const ready = edges.filter((slot) => (missed.get(slot) ?? 2) < 2);
          return (ready.length > 0 ? ready : edges).map((slot) => ({ edge: slot.name, address: edgeAddresses(slot).senders }));
        },
        databases: (): readonly SessionDatabase[] => known().databases,
        keys: () => known().tenants.flatMap((tenant) => tenant.keys),
      },
      ledger,
    );
  }

  /** What senders were told last: now and then something withdrawn, or not yet there. */
  function known(): PooledSheet {
    const at = versions.length > 1 && world.fraction() < 0.15 ? versions.length - 2 : versions.length - 1;
    return (versions[at] ?? { sheet: firstSheet() }).sheet;
  }

  function primaryOf(service: string): PooledMember | undefined {
    return members.find((slot) => slot.member === platformStore.leaders.get(service)?.member);
  }

  async function until(condition: () => boolean, milliseconds: number): Promise<boolean> {
    for (let spent = 0; spent < milliseconds; spent += 10) {
      if (condition()) return true;
      await world.run(10);
    }
    return condition();
  }

  return {
    world,
    cores,
    edges,
    members,
    platform: () => platformSlot as SessionPlatform,
    platformProcess: () => platformProcess as Process,
    operatorTrouble,
    platformStore,
    ledger,
    runs,
    versions,
    orderCalls,
    services,
    firstSheet,
    startAll,
    startCore,
    stopCore,
    addCore,
    removeCore,
    coreAddress: (slot) => coreAddresses(slot).address,
    nameSeeds: function nameSeeds(seeds) {
      namedSeeds = seeds;
    },
    readSettings,
    startEdge,
    killEdge,
    drainEdge,
    startMember,
    stopMember,
    addMember,
    configure,
    resend,
    order,
    readBack,
    call,
    session,
    ask,
    rawTo,
    startSenders,
    primaryOf,
    until,
    drive,
    raw: (slot, pieces, milliseconds) => rawTo(edgeAddresses(slot).senders, pieces, milliseconds),
    freezeEdge: function freezeEdge(slot, milliseconds) {
      for (const process of [slot.agentProcess, slot.proxyProcess]) if (process !== undefined) world.freeze(process, milliseconds);
    },
    machines: () => [...cores, ...edges, ...members].map((slot) => slot.machine),
  };
}

export const pooledFleet = { create } as const;
