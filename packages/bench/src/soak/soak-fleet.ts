/** The fleet of a soak: cores, agents and proxies as processes of their own; members, platform, operator and clients as stand-ins here. */
import fs from 'node:fs';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import { http, identifiers, kernel as kernels, type Kernel } from '@stallstall/kernel';
import { areas, sessionClient, sessionMember, sessionPlatform, type SessionMember, type SessionMemberStore } from '@stallstall/fakes';
import { pooledOperator, type OperatorTrouble, type PooledFleet, type PooledSheet } from '@stallstall/simulator';
import { productProcess, type ProductProcess } from './product-process.js';
import { standInHost, type StandInHost } from './stand-in-host.js';

export type SoakEdge = {
  readonly name: string;
  readonly area: string;
  readonly agent: ProductProcess;
  readonly proxy: ProductProcess;
  /** Grows with every start. */
  life: number;
};

export type SoakCore = Readonly<{ name: string; area: string; base: number; process: ProductProcess }>;

export type SoakMember = {
  readonly service: string;
  readonly member: string;
  readonly area: string;
  readonly base: number;
  readonly store: SessionMemberStore;
  host: StandInHost | undefined;
  running: SessionMember | undefined;
  /** Has left for good. */
  gone: boolean;
};

/** Told as the run goes on. */
export type SoakEvents = Readonly<{
  onApplied: (edge: string, order: number) => void;
  onUnexpectedEnd: (detail: string) => void;
}>;

export type SoakFleetOptions = Readonly<{
  folder: string;
  /** The first of the ports that this fleet takes. */
  basePort: number;
  edges: number;
  services: readonly string[];
  synchronousReplicas: number;
  connectionLimit: number;
  fraction: () => number;
}>;

export type SoakFleet = Pick<
  PooledFleet,
  'ledger' | 'runs' | 'versions' | 'orderCalls' | 'platformStore' | 'services' | 'firstSheet' | 'configure' | 'resend' | 'readBack' | 'call'
> &
  Readonly<{
    kernel: Kernel;
    edges: readonly SoakEdge[];
    cores: SoakCore[];
    members: SoakMember[];
    operatorTrouble: OperatorTrouble;
    primaryOf: (service: string) => SoakMember | undefined;
    startAll: () => Promise<void>;
    startEdge: (edge: SoakEdge) => Promise<void>;
    startCore: (core: SoakCore, founds?: boolean) => Promise<void>;
    addCore: (area: string) => SoakCore;
    /** Writes the seeds as they are now to the settings of everyone. */
    writeSeeds: () => void;
    startMember: (member: SoakMember) => Promise<void>;
    stopMember: (member: SoakMember) => Promise<void>;
    addMember: (service: string, area: string) => SoakMember;
    startClients: (sessions: number) => Readonly<{ stop: () => void }>;
    isReady: (edge: SoakEdge) => Promise<boolean>;
    processes: () => readonly ProductProcess[];
    stop: () => Promise<void>;
  }>;

const portsOfNode = 4;
const portsOfMember = 2;
const memberPorts = 2_000;
const platformPort = 3_000;
const readinessMilliseconds = 1_000;
const readinessDeadlineMilliseconds = 500;
const thinkMilliseconds = 500;
const restMilliseconds = 1_500;
const workMilliseconds = 8;
const slots = 10;
const promoteMilliseconds = 100;
const drainMilliseconds = 7_000;

function loopback(port: number): string {
  return `127.0.0.1:${port}`;
}

function firstSheet({ services, connectionLimit, synchronousReplicas }: SoakFleetOptions): PooledSheet {
  const kinds = [
    { suffix: 'lead', reads: 'leader', staleMilliseconds: 0, horizonMilliseconds: 1_200, aimMilliseconds: 200 },
    { suffix: 'late', reads: 'bounded', staleMilliseconds: 1_500, horizonMilliseconds: 2_000, aimMilliseconds: 800 },
    { suffix: 'own', reads: 'own', staleMilliseconds: 2_500, horizonMilliseconds: 1_000, aimMilliseconds: 200 },
  ] as const;
  return {
    services: services.map((service) => ({ service, connectionLimit, registered: true, synchronousReplicas })),
    databases: services.flatMap((service) =>
      kinds.map(({ suffix, ...database }) => ({ ...database, database: `${service}-${suffix}`, service })),
    ),
    tenants: [
      { tenant: 'tenant-one', keys: ['key-one', 'key-spare'] },
      { tenant: 'tenant-two', keys: ['key-two'] },
    ],
    rows: [],
    keys: [],
    bounds: { restMilliseconds },
  };
}

function create(kernel: Kernel, options: SoakFleetOptions, events: SoakEvents): SoakFleet {
  const { folder, basePort, services } = options;
  const cores: SoakCore[] = [];
  const members: SoakMember[] = [];
  let nodesEver = 0;
  let coresEver = 0;
  const platformAddress = loopback(basePort + platformPort);
  const platformStore = sessionPlatform.emptyStore();
  const ledger = sessionClient.emptyLedger();
  const runs: PooledFleet['runs'] = [];
  const versions: PooledFleet['versions'] = [];
  const orderCalls: PooledFleet['orderCalls'] = [];
  const operatorTrouble: OperatorTrouble = { lostShare: 0 };
  let platform: Readonly<{ stop: () => Promise<void> }> | undefined;

  function nextBase(): number {
    nodesEver += 1;
    return basePort + nodesEver * portsOfNode;
  }

  function platformApiAddresses(): readonly string[] {
    return cores.map((core) => loopback(core.base + 2));
  }

  function addCore(area: string): SoakCore {
    coresEver += 1;
    const name = `core-${coresEver}`;
    const { onUnexpectedEnd } = events;
    const core = {
      name,
      area,
      base: nextBase(),
      process: productProcess.create(name, folder, { onApplied: () => undefined, onUnexpectedEnd }),
    };
    cores.push(core);
    return core;
  }

  for (const area of areas) addCore(area);
  const founders = cores.map((core) => loopback(core.base));

  const edgeBases = new Map<string, number>();
  const edges = Array.from({ length: options.edges }, function edge(_, index): SoakEdge {
    const name = `edge-${index + 1}`;
    edgeBases.set(name, nextBase());
    const { onUnexpectedEnd } = events;
    return {
      name,
      area: areas[index % areas.length] as string,
      agent: productProcess.create(`${name}-agent`, folder, { onApplied: () => undefined, onUnexpectedEnd }),
      proxy: productProcess.create(`${name}-proxy`, folder, { onApplied: (order) => events.onApplied(name, order), onUnexpectedEnd }),
      life: 0,
    };
  });

  function seeds(): readonly string[] {
    return cores.map((core) => loopback(core.base)).slice(-3);
  }

  function coreSettings({ name, area, base }: SoakCore, founds: boolean) {
    return {
      role: 'core',
      node: name,
      area,
      address: loopback(base),
      outward: loopback(base + 1),
      platformApiAddress: loopback(base + 2),
      seeds: seeds(),
      founders,
      founds,
      platform: platformAddress,
      data: path.join(folder, `${name}-data`),
    } as const;
  }

  function edgePort({ name }: Pick<SoakEdge, 'name'>, place: number): string {
    return loopback((edgeBases.get(name) ?? 0) + place);
  }

  function agentSettings(edge: SoakEdge) {
    return { role: 'agent', node: edge.name, area: edge.area, feed: edgePort(edge, 0), seeds: seeds() } as const;
  }

  function proxySettings(edge: SoakEdge) {
    return { role: 'proxy', node: edge.name, feed: edgePort(edge, 0), outward: edgePort(edge, 1), address: edgePort(edge, 2) } as const;
  }

  async function startEdge(edge: SoakEdge): Promise<void> {
    edge.life += 1;
    await Promise.all([edge.agent.start(agentSettings(edge)), edge.proxy.start(proxySettings(edge))]);
  }

  function writeSeeds(): void {
    for (const core of cores) core.process.writeSettings(coreSettings(core, false));
    for (const edge of edges) edge.agent.writeSettings(agentSettings(edge));
  }

  function addMember(service: string, area: string): SoakMember {
    const number = members.filter((one) => one.service === service).length + 1;
    const member: SoakMember = {
      service,
      member: `${service}-${number}`,
      area,
      base: basePort + memberPorts + members.length * portsOfMember,
      store: sessionMember.emptyStore(),
      host: undefined,
      running: undefined,
      gone: false,
    };
    members.push(member);
    return member;
  }

  for (const service of services) for (const area of areas) addMember(service, area);

  async function startMember(member: SoakMember): Promise<void> {
    if (member.running !== undefined || member.gone) return;
    const host = standInHost.create(kernel);
    member.host = host;
    member.running = await sessionMember.start(
      host.kernel,
      {
        service: member.service,
        member: member.member,
        area: member.area,
        address: loopback(member.base),
        control: loopback(member.base + 1),
        doors: platformApiAddresses(),
        connectionLimit: options.connectionLimit,
        slots,
        workMilliseconds,
        openMilliseconds: 10,
        applyMilliseconds: 8,
        synchronousReplicas: options.synchronousReplicas,
        drainMilliseconds,
      },
      member.store,
      (run) => void runs.push(run),
    );
  }

  async function stopMember(member: SoakMember): Promise<void> {
    const { host, running } = member;
    member.running = undefined;
    member.host = undefined;
    await Promise.all([running?.stop(), host?.stop()]);
  }

  async function startPlatform(): Promise<void> {
    platform = await sessionPlatform.start(
      kernel,
      {
        address: platformAddress,
        promoteMilliseconds,
        members: () =>
          members.map((member) => ({
            service: member.service,
            member: member.member,
            control: loopback(member.base + 1),
            runs: () => !member.gone && member.running !== undefined,
            lead: (term) => member.running?.lead(term),
            follow: function follow(term, primary) {
              if (member.running === undefined) sessionMember.follow(member.store, term, primary);
              else member.running.follow(term, primary);
            },
          })),
      },
      platformStore,
    );
  }

  function startCore(core: SoakCore, founds = false): Promise<void> {
    return core.process.start(coreSettings(core, founds));
  }

  async function startAll(): Promise<void> {
    fs.mkdirSync(folder, { recursive: true });
    await startPlatform();
    for (const member of members) await startMember(member);
    await Promise.all(cores.map((core) => startCore(core, true)));
    await Promise.all(edges.map(startEdge));
  }

  async function isReady(edge: SoakEdge): Promise<boolean> {
    const address = identifiers.address(edgePort(edge, 1));
    const reply = await http.once(kernel, address, { method: 'GET', path: '/ready' }, readinessDeadlineMilliseconds);
    return Either.isRight(reply) && reply.right.status === 200;
  }

  /** New connections go to edges that answer; one that misses two readings is left out until it answers again. */
  function startClients(sessions: number): Readonly<{ stop: () => void }> {
    const missed = new Map<string, number>();
    let isStopped = false;
    async function look(edge: SoakEdge): Promise<void> {
      missed.set(edge.name, (await isReady(edge)) ? 0 : (missed.get(edge.name) ?? 0) + 1);
    }
    for (const edge of edges)
      void kernels.every(
        kernel.clock,
        readinessMilliseconds,
        () => look(edge),
        () => !isStopped,
      );
    const clients = sessionClient.start(
      kernel,
      {
        sessions,
        thinkMilliseconds,
        longRestMilliseconds: restMilliseconds + 1_200,
        edges: function chosen() {
          const ready = edges.filter((edge) => (missed.get(edge.name) ?? 0) < 2);
          return (ready.length > 0 ? ready : edges).map((edge) => ({ edge: edge.name, address: edgePort(edge, 2) }));
        },
        databases: () => known().databases,
        keys: () => known().tenants.flatMap((tenant) => tenant.keys),
      },
      ledger,
    );
    return {
      stop: function stop() {
        isStopped = true;
        clients.stop();
      },
    };
  }

  function known(): PooledSheet {
    return versions.at(versions.length > 1 && options.fraction() < 0.15 ? -2 : -1)?.sheet ?? firstSheet(options);
  }

  const operator = pooledOperator.create({
    world: { fraction: options.fraction },
    kernel,
    trouble: operatorTrouble,
    addresses: platformApiAddresses,
    versions,
    orderCalls,
  });

  function processes(): readonly ProductProcess[] {
    return [...cores.map((core) => core.process), ...edges.flatMap((edge) => [edge.agent, edge.proxy])];
  }

  return {
    ...operator,
    kernel,
    ledger,
    runs,
    versions,
    orderCalls,
    platformStore,
    services,
    firstSheet: () => firstSheet(options),
    edges,
    cores,
    members,
    operatorTrouble,
    primaryOf: (service) => members.find((one) => one.member === platformStore.leaders.get(service)?.member),
    startAll,
    startEdge,
    startCore,
    addCore,
    writeSeeds,
    startMember,
    stopMember,
    addMember,
    startClients,
    isReady,
    processes,
    stop: async function stop() {
      await Promise.all(processes().map((one) => one.kill()));
      await Promise.all(members.map(stopMember));
      await platform?.stop();
    },
  };
}

export const soakFleet = { create } as const;
