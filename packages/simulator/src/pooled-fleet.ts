/** An in-memory fleet of the pooled mode: cores that grant leases, edges that hold them, members that register, senders with sessions (design 10.4). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { leaseAgent } from '@stallstall/agent';
import { core, type PlatformIntegration } from '@stallstall/core';
import { http, identifiers, runtimeUtilities } from '@stallstall/kernel';
import { pooler } from '@stallstall/pooler';
import type { Condition, StatementReply } from '@stallstall/session-protocol';
import {
  areas,
  plainDialect,
  sessionMember,
  sessionPlatform,
  sessionClient,
  type SessionDatabase,
  type SessionLine,
  type SessionPlatform,
  type SessionRun,
} from '@stallstall/fakes';
import type { OrderCall } from './order-checks.js';
import { pooledAdapter } from './pooled-adapter.js';
import {
  firstKey,
  spareKey,
  type OperatorTrouble,
  type PooledCore,
  type PooledEdge,
  type PooledFleet,
  type PooledMember,
  type PooledOptions,
  type PooledSheet,
  type PooledVersion,
} from './pooled-model.js';
import { pooledOperator } from './pooled-operator.js';
import { world as worlds, type Process } from './world.js';

const graceMilliseconds = 6_000;
const readinessMilliseconds = 1_000;
const steadyThinkMilliseconds = 30;
const readinessDeadlineMilliseconds = 500;
/** The seeds that settings name follow a replaced core so much later. */
const seedLagMilliseconds = 3_000;

function create(seed: number, options: PooledOptions = {}): PooledFleet {
  const world = worlds.create(seed, { countsTraffic: options.weighing ?? false });
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
  const ledger = sessionClient.emptyLedger();
  const runs: SessionRun[] = [];
  const versions: PooledVersion[] = [];
  const orderCalls: OrderCall[] = [];
  const operator = world.spawn('operator', 'operator-machine').runtime;
  const clients = world.spawn('senders', 'sender-machine').runtime;
  const carrier = world.spawn('carrier', 'carrier-machine').runtime;
  const chooser = world.spawn('chooser', 'chooser-machine').runtime;
  const platformAddress = '10.4.0.1:9000';
  let platformSlot: SessionPlatform | undefined;
  let platformProcess: Process | undefined;
  const operatorTrouble: OperatorTrouble = { lostShare: 0 };
  const orders = pooledOperator.create({
    world,
    runtime: operator,
    trouble: operatorTrouble,
    addresses: () => cores.map((slot) => coreAddresses(slot).platformApiAddress),
    versions,
    orderCalls,
  });

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

  function coreAddresses(slot: PooledCore): Readonly<{ address: string; outward: string; platformApiAddress: string }> {
    return { address: `${slot.host}:7000`, outward: `${slot.host}:7001`, platformApiAddress: `${slot.host}:7002` };
  }

  function edgeAddresses(slot: PooledEdge): Readonly<{ feed: string; outward: string; clients: string }> {
    const host = `10.2.0.${edges.indexOf(slot) + 1}`;
    return { feed: `${host}:7000`, outward: `${host}:7001`, clients: `${host}:8000` };
  }

  const founders = cores.map((slot) => coreAddresses(slot).address);
  /** Where members find cores: read anew at each beat. */
  const platformApiAddresses = cores.map((slot) => coreAddresses(slot).platformApiAddress);
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

  /** The machine is gone for good, also where the end of the day had all machines started again meanwhile. */
  function removeCore(slot: PooledCore, successor: PooledCore): void {
    if (slot.process?.alive() === true) {
      world.makeUnresponsive(slot.machine);
      slot.running = undefined;
    }
    cores.splice(cores.indexOf(slot), 1);
    const [gone, come] = [coreAddresses(slot), coreAddresses(successor)];
    platformApiAddresses[platformApiAddresses.indexOf(gone.platformApiAddress)] = come.platformApiAddress;
    world.schedule(seedLagMilliseconds, function follow() {
      namedSeeds = namedSeeds.map((seed) => (seed === gone.address ? come.address : seed));
    });
  }

  async function startCore(slot: PooledCore): Promise<void> {
    const spawned = world.spawn(slot.name, slot.machine, slot.disk);
    slot.process = spawned;
    readSettings(slot);
    const { address, outward, platformApiAddress } = coreAddresses(slot);
    const parts: PlatformIntegration = {
      calls: pooledAdapter.calls,
      probe: pooledAdapter.memberProbe(spawned.runtime),
      routes: pooledAdapter.pages,
      platformApiAddress,
      mayFound: first,
      founderAddresses: founders,
    };
    const started = await core.start(
      spawned.runtime,
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
    if (Either.isLeft(started)) spawned.runtime.stop(started.left);
    else slot.running = started.right;
  }

  function stopCore(slot: PooledCore): void {
    if (slot.process !== undefined) world.kill(slot.process);
    slot.running = undefined;
  }

  async function startAgent(slot: PooledEdge): Promise<void> {
    const { feed } = edgeAddresses(slot);
    readSettings(slot);
    slot.agentProcess = world.spawn(`${slot.name}/agent`, slot.machine);
    slot.agent = await leaseAgent.start(slot.agentProcess.runtime, { node: slot.name, area: slot.area, feed, seeds: () => slot.seeds });
  }

  async function startEdge(slot: PooledEdge): Promise<void> {
    const { feed, outward, clients: address } = edgeAddresses(slot);
    slot.life += 1;
    await startAgent(slot);
    slot.proxyProcess = world.spawn(`${slot.name}/proxy`, slot.machine);
    slot.proxy = await pooler.start(
      slot.proxyProcess.runtime,
      { clientAddress: address, readinessAddress: outward, agentAddress: feed, graceMilliseconds },
      {
        dialect: plainDialect,
        readinessRoutes: (ready) => [{ method: 'GET', path: '/ready', handle: async () => ({ status: ready() ? 200 : 503, body: {} }) }],
      },
    );
  }

  async function restartAgent(slot: PooledEdge): Promise<void> {
    if (slot.agentProcess !== undefined) world.kill(slot.agentProcess);
    await startAgent(slot);
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
      spawned.runtime,
      {
        service: slot.service,
        member: slot.member,
        area: slot.area,
        address: slot.address,
        control: slot.control,
        doors: platformApiAddresses,
        carrier,
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
      platformProcess.runtime,
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
    const opened = await drive(sessionClient.open(clients, edgeAddresses(slot).clients, database, who));
    return 'line' in opened ? opened.line : opened.outcome;
  }

  let asked = 0;
  function ask(line: SessionLine, text: string, milliseconds = 5_000): Promise<Option.Option<StatementReply>> {
    asked += 1;
    return drive(line.query(`story-${asked}`, text, milliseconds));
  }

  async function rawTo(address: string, pieces: readonly string[], milliseconds: number): Promise<string> {
    const opened = await drive(clients.network.openStream(identifiers.address(address), 2_000));
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
    const reply = await http.exchangeOnce(
      chooser,
      identifiers.address(edgeAddresses(slot).outward),
      { method: 'GET', path: '/ready' },
      readinessDeadlineMilliseconds,
    );
    missed.set(slot, Either.isRight(reply) && reply.right.status === 200 ? 0 : (missed.get(slot) ?? 2) + 1);
  }

  function startClients(sessions: number, thinkMilliseconds: number, steadySessions = 0): Readonly<{ stop: () => void }> {
    for (const slot of edges)
      void runtimeUtilities.every(
        chooser.clock,
        readinessMilliseconds,
        () => readiness(slot),
        () => true,
      );
    return sessionClient.start(
      clients,
      {
        sessions,
        thinkMilliseconds,
        steady: { sessions: steadySessions, thinkMilliseconds: steadyThinkMilliseconds },
        longRestMilliseconds: (options.restMilliseconds ?? 1_500) + 1_200,
        edges: function chosen() {
          const ready = edges.filter((slot) => (missed.get(slot) ?? 2) < 2);
          return (ready.length > 0 ? ready : edges).map((slot) => ({ edge: slot.name, address: edgeAddresses(slot).clients }));
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
    ...orders,
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
    restartAgent,
    killEdge,
    drainEdge,
    startMember,
    stopMember,
    addMember,
    session,
    ask,
    rawTo,
    startClients,
    primaryOf,
    until,
    drive,
    raw: (slot, pieces, milliseconds) => rawTo(edgeAddresses(slot).clients, pieces, milliseconds),
    freezeEdge: function freezeEdge(slot, milliseconds) {
      for (const process of [slot.agentProcess, slot.proxyProcess]) if (process !== undefined) world.freeze(process, milliseconds);
    },
    machines: () => [...cores, ...edges, ...members].map((slot) => slot.machine),
  };
}

export const pooledFleet = { create } as const;
