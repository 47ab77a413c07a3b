/** An in-memory fleet: 3 cores, 6 edges in 3 areas, 3 services of 3 members, the platform, clients and operators (design 10.4). */
import * as Either from 'fp-ts/lib/Either.js';
import { http, identifiers, runtimeUtilities, type HttpReply, type Protocols } from '@stallstall/kernel';
import { core, type Core } from '@stallstall/core';
import { agent, type Agent } from '@stallstall/agent';
import { proxy, type Proxy } from '@stallstall/proxy';
import {
  areas,
  deployments,
  member,
  platform,
  client,
  type Deployment,
  type Ledger,
  type Member,
  type MemberPlace,
  type MemberStore,
  type Platform,
  type PlatformStore,
} from '@stallstall/fakes';
import { world as worlds, type Process, type SimulatedDisk, type World } from './world.js';
import { replyOf } from './http-replies.js';

type Slot<Running> = { process: Process | undefined; running: Running | undefined };

export type CoreSlot = Slot<Core> & { protocols?: Protocols; readonly name: string; readonly machine: string; disk: SimulatedDisk };
/** `seeds` and `protocols`: its seed addresses and protocol versions, where they differ from those of the rest of the fleet. */
export type EdgeSlot = {
  seeds?: readonly string[];
  protocols?: Protocols;
  readonly name: string;
  readonly machine: string;
  readonly area: string;
  readonly agent: Slot<Agent>;
  readonly proxy: Slot<Proxy>;
};
/** `isRemoved`: permanently removed from the fleet. */
export type MemberSlot = Slot<Member> & { readonly place: MemberPlace; readonly machine: string; store: MemberStore; isRemoved?: boolean };

/** `factor` multiplies the deployment's sessions and request rate; `skewedShare`: the share of sessions that all go to the same edge. */
export type ClientOptions = Readonly<{ hastyShare?: number; factor?: number; skewedShare?: number }>;

export type FleetOptions = Readonly<{
  edges?: number;
  synchronous?: number;
  replicateMilliseconds?: number;
  runMilliseconds?: number;
  spareEdge?: boolean;
  operatorKey?: string;
  weighing?: boolean;
}>;

export type Fleet = Readonly<{
  world: World;
  deployment: Deployment;
  cores: readonly CoreSlot[];
  edges: readonly EdgeSlot[];
  /** An additional edge whose processes are not started with the fleet. */
  spare: EdgeSlot | undefined;
  /** Grows when a member is added; the platform and `defaultConfiguration` use this same list. */
  members: MemberSlot[];
  /** Adds a member with a new address and an empty store to a service; no configuration sent so far contains it. */
  addMember: (service: string, area: string) => MemberSlot;
  platformStore: PlatformStore;
  platform: () => Platform;
  ledger: Ledger;
  key: string;
  startAll: () => Promise<void>;
  /** Starts a core at its usual address, or at another IP address as if it were another machine. */
  startCore: (slot: CoreSlot, elsewhere?: string) => Promise<void>;
  startAgent: (slot: EdgeSlot) => Promise<void>;
  startProxy: (slot: EdgeSlot) => Promise<void>;
  startMember: (slot: MemberSlot) => Promise<void>;
  stopSlot: (slot: Slot<unknown>) => void;
  /** A placement configuration with all members that are not removed. */
  defaultConfiguration: () => Record<string, unknown>;
  /** Sends an operator's request to a core and runs virtual time until the reply. */
  sendOperatorRequest: (
    method: string,
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
    coreIndex?: number,
  ) => Promise<HttpReply>;
  /** Sends a configuration without advancing virtual time. */
  sendConfiguration: (configuration: unknown, coreIndex: number) => Promise<HttpReply>;
  /** Sends an operator's command without advancing virtual time. */
  sendOperatorCommand: (method: string, path: string, coreIndex: number) => Promise<HttpReply>;
  /** Two cores and the platform work and can reach each other, which is all that the fleet needs to operate. */
  canOperate: () => boolean;
  /** All processes run, none is frozen, and no fault setting is enabled. */
  isHealthy: () => boolean;
  /** Sends a client's POST request without advancing virtual time. */
  post: (edge: EdgeSlot, path: string, body: unknown) => Promise<HttpReply>;
  /** Sends a client's request and runs virtual time until the reply. */
  sendRequest: (
    edge: EdgeSlot,
    method: string,
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<HttpReply>;
  startClients: (clientOptions?: ClientOptions) => Readonly<{ stop: () => void }>;
  primaryOf: (service: string) => MemberSlot | undefined;
  /** Runs until a condition holds; false if it does not within this many virtual milliseconds. */
  runUntil: (condition: () => boolean, milliseconds: number) => Promise<boolean>;
  coreAddresses: (slot: CoreSlot) => { address: string; outward: string };
  edgeAddresses: (slot: EdgeSlot) => { address: string; outward: string; feed: string; proxy: string };
}>;

const clientKey = 'sender-key-0001';
const readinessMilliseconds = 400;

function create(seed: number, deployment: Deployment, options: FleetOptions = {}): Fleet {
  const world = worlds.create(seed, { countsTraffic: options.weighing ?? false });
  const edgeCount = options.edges ?? 6;
  const cores: CoreSlot[] = [0, 1, 2].map((index) => ({
    name: `core-${index + 1}`,
    machine: `core-machine-${index + 1}`,
    disk: world.disk(),
    process: undefined,
    running: undefined,
  }));
  function edgeSlot(index: number): EdgeSlot {
    return {
      name: `edge-${index + 1}`,
      machine: `edge-machine-${index + 1}`,
      area: areas[index % areas.length] as string,
      agent: { process: undefined, running: undefined },
      proxy: { process: undefined, running: undefined },
    };
  }
  const edges: readonly EdgeSlot[] = Array.from({ length: edgeCount }, (_, index) => edgeSlot(index));
  const spare = options.spareEdge === true ? edgeSlot(edgeCount) : undefined;
  const allEdges = spare === undefined ? edges : [...edges, spare];
  const members: MemberSlot[] = deployment.services.flatMap((service, serviceIndex) =>
    areas.map((area, index) => ({
      place: {
        service,
        member: `${service}-${index + 1}`,
        area,
        address: `10.3.${serviceIndex}.${index + 1}:5000`,
        control: `10.3.${serviceIndex}.${index + 1}:5001`,
      },
      machine: `member-machine-${service}-${index + 1}`,
      store: member.emptyStore(false),
      process: undefined,
      running: undefined,
    })),
  );
  const platformMembers = members.map((slot) => ({ service: slot.place.service, member: slot.place.member, control: slot.place.control }));
  const platformStore = platform.emptyStore();
  const platformAddress = '10.4.0.1:9000';
  const platformMachine = 'platform-machine';
  const ledger = client.emptyLedger();
  const operator = world.spawn('operator', 'operator-machine');
  const clients = world.spawn('senders', 'sender-machine');
  const readinessProber = world.spawn('chooser', 'platform-chooser-machine');
  let platformSlot: Platform | undefined;

  function place(slot: CoreSlot): { address: string; outward: string } {
    const index = cores.indexOf(slot) + 1;
    return { address: `10.1.0.${index}:7000`, outward: `10.1.0.${index}:7001` };
  }

  function edgeAddresses(slot: EdgeSlot): { address: string; outward: string; feed: string; proxy: string } {
    const index = allEdges.indexOf(slot) + 1;
    return {
      address: `10.2.0.${index}:7000`,
      outward: `10.2.0.${index}:7001`,
      feed: `10.2.0.${index}:7002`,
      proxy: `10.2.0.${index}:8000`,
    };
  }

  const seeds = cores.map((slot) => place(slot).address);

  async function startCore(slot: CoreSlot, elsewhere?: string): Promise<void> {
    const spawned = world.spawn(slot.name, slot.machine, slot.disk, slot.protocols);
    const { address, outward } = elsewhere === undefined ? place(slot) : { address: `${elsewhere}:7000`, outward: `${elsewhere}:7001` };
    slot.process = spawned;
    const area = areas[cores.indexOf(slot)] as string;
    const started = await core.start(spawned.runtime, {
      node: slot.name,
      area,
      address,
      outward,
      seeds: () => seeds,
      platform: () => platformAddress,
      cores: 3,
      operatorKey: options.operatorKey,
    });
    if (Either.isLeft(started)) spawned.runtime.stop(started.left);
    else slot.running = started.right;
  }

  async function startAgent(slot: EdgeSlot): Promise<void> {
    const spawned = world.spawn(`${slot.name}/agent`, slot.machine, undefined, slot.protocols);
    slot.agent.process = spawned;
    const { address, outward, feed } = edgeAddresses(slot);
    const started = await agent.start(spawned.runtime, {
      node: slot.name,
      area: slot.area,
      address,
      outward,
      feed,
      seeds: () => slot.seeds ?? seeds,
      platform: () => platformAddress,
    });
    if (Either.isRight(started)) slot.agent.running = started.right;
  }

  async function startProxy(slot: EdgeSlot): Promise<void> {
    const spawned = world.spawn(`${slot.name}/proxy`, slot.machine, undefined, slot.protocols);
    slot.proxy.process = spawned;
    const { feed, proxy: address } = edgeAddresses(slot);
    slot.proxy.running = await proxy.start(spawned.runtime, { address, feed });
  }

  function addMember(service: string, area: string): MemberSlot {
    const number = members.filter((slot) => slot.place.service === service).length + 1;
    const host = `10.3.${deployment.services.indexOf(service)}.${number}`;
    const place: MemberPlace = { service, member: `${service}-${number}`, area, address: `${host}:5000`, control: `${host}:5001` };
    const slot: MemberSlot = {
      place,
      machine: `member-machine-${service}-${number}`,
      store: member.emptyStore(false),
      process: undefined,
      running: undefined,
    };
    members.push(slot);
    platformMembers.push({ service, member: place.member, control: place.control });
    return slot;
  }

  async function startMember(slot: MemberSlot): Promise<void> {
    const spawned = world.spawn(slot.place.member, slot.machine);
    slot.process = spawned;
    slot.running = await member.start(
      spawned.runtime,
      {
        member: slot.place.member,
        service: slot.place.service,
        address: slot.place.address,
        control: slot.place.control,
        connectionLimit: deployment.connectionLimit,
        nodes: [...cores.map((one) => place(one).outward), ...allEdges.map((edge) => edgeAddresses(edge).outward)],
        runMilliseconds: options.runMilliseconds ?? 6,
        replicateMilliseconds: options.replicateMilliseconds ?? 20,
        synchronous: options.synchronous ?? 1,
      },
      slot.store,
    );
  }

  async function startAll(): Promise<void> {
    platformSlot = await platform.start(
      world.spawn('platform', platformMachine).runtime,
      {
        address: platformAddress,
        members: platformMembers,
      },
      platformStore,
    );
    for (const slot of members) await startMember(slot);
    for (const slot of cores) await startCore(slot);
    for (const slot of edges) {
      await startAgent(slot);
      await startProxy(slot);
    }
  }

  function stopSlot(slot: Slot<unknown>): void {
    if (slot.process !== undefined) world.kill(slot.process);
    slot.running = undefined;
  }

  /** Runs virtual time until the promise settles. */
  async function runUntilDone<Result>(work: Promise<Result>, milliseconds = 30_000): Promise<Result> {
    let done = false;
    void work.then(() => {
      done = true;
    });
    for (let spent = 0; !done && spent < milliseconds; spent += 5) await world.run(5);
    if (!done) throw new Error('the fleet did not reply within 30 s of virtual time');
    return work;
  }

  async function operate(
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
    coreIndex = 0,
  ): Promise<HttpReply> {
    const address = identifiers.address(place(cores[coreIndex] as CoreSlot).outward);
    return replyOf(await runUntilDone(http.exchangeOnce(operator.runtime, address, { method, path, body, headers }, 10_000)));
  }

  async function send(configuration: unknown, coreIndex: number): Promise<HttpReply> {
    const address = identifiers.address(place(cores[coreIndex] as CoreSlot).outward);
    return replyOf(
      await http.exchangeOnce(
        operator.runtime,
        address,
        { method: 'PUT', path: '/v1/sheet', body: { sheet: configuration, sentBy: `operator-${coreIndex}` } },
        8_000,
      ),
    );
  }

  async function command(method: string, path: string, coreIndex: number): Promise<HttpReply> {
    const address = identifiers.address(place(cores[coreIndex] as CoreSlot).outward);
    return replyOf(await http.exchangeOnce(operator.runtime, address, { method, path, body: {} }, 8_000));
  }

  async function post(edge: EdgeSlot, path: string, body: unknown): Promise<HttpReply> {
    const address = identifiers.address(edgeAddresses(edge).proxy);
    return replyOf(
      await http.exchangeOnce(clients.runtime, address, { method: 'POST', path, body, headers: { 'x-stallstall-key': clientKey } }, 30_000),
    );
  }

  async function ask(
    edge: EdgeSlot,
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<HttpReply> {
    const address = identifiers.address(edgeAddresses(edge).proxy);
    return replyOf(
      await runUntilDone(
        http.exchangeOnce(clients.runtime, address, { method, path, body, headers: { 'x-stallstall-key': clientKey, ...headers } }, 10_000),
      ),
    );
  }

  const readyEdges = new Set<EdgeSlot>();

  /** The platform directs clients only to edges whose readiness probe succeeded. */
  async function probeReadiness(edge: EdgeSlot): Promise<void> {
    const reply = await http.exchangeOnce(
      readinessProber.runtime,
      identifiers.address(edgeAddresses(edge).proxy),
      { method: 'GET', path: '/ready' },
      readinessMilliseconds,
    );
    if (Either.isRight(reply) && reply.right.status === 200) readyEdges.add(edge);
    else readyEdges.delete(edge);
  }

  function startClients(clientOptions: ClientOptions = {}): Readonly<{ stop: () => void }> {
    for (const edge of allEdges)
      void runtimeUtilities.every(
        readinessProber.runtime.clock,
        readinessMilliseconds,
        () => probeReadiness(edge),
        () => true,
      );
    return client.start(
      clients.runtime,
      {
        deployment,
        key: clientKey,
        sessions: deployment.sessions * (clientOptions.factor ?? 1),
        requestsPerSecond: deployment.requestsPerSecond * (clientOptions.factor ?? 1),
        hastyShare: clientOptions.hastyShare ?? 0,
        deadlineMilliseconds: 3_000,
        tag: 's',
        edges: function readyAddresses() {
          const addresses = [...readyEdges].map((slot) => edgeAddresses(slot).proxy);
          const preferred = addresses[0];
          return preferred !== undefined && world.fraction() < (clientOptions.skewedShare ?? 0) ? [preferred] : addresses;
        },
      },
      ledger,
    );
  }

  function primaryOf(service: string): MemberSlot | undefined {
    const leader = platformStore.leaders.get(service);
    return members.find((slot) => slot.place.member === leader?.member);
  }

  function able(): boolean {
    const workingCores = cores.filter(
      (slot) =>
        slot.process?.alive() === true &&
        !world.isFrozen(slot.process) &&
        slot.running?.isOpen() === true &&
        !slot.disk.faults.failing &&
        slot.disk.faults.slowMilliseconds < 300,
    );
    const isPlatformWorking = platformSlot !== undefined && !platformSlot.knobs.down && !platformSlot.knobs.denies;
    return (
      isPlatformWorking &&
      workingCores.some((core, index) =>
        workingCores
          .slice(index + 1)
          .some(
            (other) =>
              world.isConnected(core.machine, other.machine) &&
              (world.isConnected(core.machine, platformMachine) || world.isConnected(other.machine, platformMachine)),
          ),
      )
    );
  }

  function sound(): boolean {
    const processes = [
      ...cores.map((slot) => slot.process),
      ...edges.flatMap((slot) => [slot.agent.process, slot.proxy.process]),
      ...members.filter((slot) => !slot.isRemoved).map((slot) => slot.process),
    ];
    const platformRunning = platformSlot;
    return (
      processes.every((process) => process?.alive() === true && !world.isFrozen(process)) &&
      cores.every((slot) => slot.running !== undefined && !slot.disk.faults.failing && slot.disk.faults.slowMilliseconds === 0) &&
      platformRunning !== undefined &&
      !platformRunning.knobs.down &&
      !platformRunning.knobs.denies &&
      !platformRunning.knobs.losesReplies &&
      !platformRunning.knobs.garbles &&
      members.every((slot) => slot.isRemoved || Object.values(slot.running?.knobs ?? {}).every((knob) => !knob))
    );
  }

  async function until(condition: () => boolean, milliseconds: number): Promise<boolean> {
    for (let spent = 0; spent < milliseconds; spent += 50) {
      if (condition()) return true;
      await world.run(50);
    }
    return condition();
  }

  return {
    world,
    deployment,
    cores,
    edges,
    spare,
    members,
    addMember,
    canOperate: able,
    isHealthy: sound,
    platformStore,
    platform: () => platformSlot as Platform,
    ledger,
    key: clientKey,
    startAll,
    startCore,
    startAgent,
    startProxy,
    startMember,
    stopSlot,
    sendOperatorRequest: operate,
    sendConfiguration: send,
    sendOperatorCommand: command,
    post,
    sendRequest: ask,
    startClients,
    primaryOf,
    runUntil: until,
    coreAddresses: place,
    edgeAddresses,
    /** A placement configuration with all members that are not removed. */
    defaultConfiguration: () =>
      structuredClone(
        deployments.sheet(
          deployment,
          members.filter((slot) => slot.isRemoved !== true).map((slot) => slot.place),
          clientKey,
        ),
      ) as Record<string, unknown>,
  };
}

export const fleet = { create } as const;
