/** An in-memory fleet: 3 cores, 6 edges in 3 areas, 3 services of 3 members, the platform, senders, operators (design 10.4). */
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
/** `seeds` and `protocols`: what its settings and its build say, where they differ from the rest of the fleet. */
export type EdgeSlot = {
  seeds?: readonly string[];
  protocols?: Protocols;
  readonly name: string;
  readonly machine: string;
  readonly area: string;
  readonly agent: Slot<Agent>;
  readonly proxy: Slot<Proxy>;
};
/** `gone`: taken out for good. */
export type MemberSlot = Slot<Member> & { readonly place: MemberPlace; readonly machine: string; store: MemberStore; isRemoved?: boolean };

/** `factor` times the deployment's sessions and rate; `crowded`: the share of sessions that all go to one edge. */
export type ClientOptions = Readonly<{ hastyShare?: number; factor?: number; crowded?: number }>;

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
  /** An edge that no process runs as yet. */
  spare: EdgeSlot | undefined;
  /** Grows when a member is replaced: the platform and whoever writes a sheet see the same table. */
  members: MemberSlot[];
  /** Another member for a service, at an address of its own, with an empty store; no sheet names it yet. */
  addMember: (service: string, area: string) => MemberSlot;
  platformStore: PlatformStore;
  platform: () => Platform;
  ledger: Ledger;
  key: string;
  startAll: () => Promise<void>;
  /** At its own place, or as another machine at another IP number. */
  startCore: (slot: CoreSlot, elsewhere?: string) => Promise<void>;
  startAgent: (slot: EdgeSlot) => Promise<void>;
  startProxy: (slot: EdgeSlot) => Promise<void>;
  startMember: (slot: MemberSlot) => Promise<void>;
  stopSlot: (slot: Slot<unknown>) => void;
  defaultConfiguration: () => Record<string, unknown>;
  /** Steps as an operator would, against any core that answers. */
  sendOperatorRequest: (
    method: string,
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
    coreIndex?: number,
  ) => Promise<HttpReply>;
  /** Sends a sheet without waiting for virtual time to pass. */
  sendConfiguration: (sheet: unknown, coreIndex: number) => Promise<HttpReply>;
  /** An operator's step without waiting for virtual time to pass. */
  sendOperatorCommand: (method: string, path: string, coreIndex: number) => Promise<HttpReply>;
  /** Two cores and the platform work and hear each other: so much the brief lets a fleet count on. */
  canOperate: () => boolean;
  /** Everything runs again as it should: no process is dead or frozen, no knob turned. */
  isHealthy: () => boolean;
  /** A sender's POST without waiting for virtual time to pass. */
  post: (edge: EdgeSlot, path: string, body: unknown) => Promise<HttpReply>;
  sendRequest: (
    edge: EdgeSlot,
    method: string,
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<HttpReply>;
  startClients: (wishes?: ClientOptions) => Readonly<{ stop: () => void }>;
  primaryOf: (service: string) => MemberSlot | undefined;
  /** Runs until a condition holds; false when it has not within so many virtual milliseconds. */
  runUntil: (condition: () => boolean, milliseconds: number) => Promise<boolean>;
  coreAddresses: (slot: CoreSlot) => { address: string; outward: string };
  edgeAddresses: (slot: EdgeSlot) => { address: string; outward: string; feed: string; proxy: string };
}>;

const clientKey = 'sender-key-0001';
const readyMilliseconds = 400;

function create(seed: number, deployment: Deployment, options: FleetOptions = {}): Fleet {
  const world = worlds.create(seed, options.weighing);
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
  const everyEdge = spare === undefined ? edges : [...edges, spare];
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
  const chooser = world.spawn('chooser', 'platform-chooser-machine');
  let platformSlot: Platform | undefined;

  function place(slot: CoreSlot): { address: string; outward: string } {
    const index = cores.indexOf(slot) + 1;
    return { address: `10.1.0.${index}:7000`, outward: `10.1.0.${index}:7001` };
  }

  function edgeAddresses(slot: EdgeSlot): { address: string; outward: string; feed: string; proxy: string } {
    const index = everyEdge.indexOf(slot) + 1;
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
        nodes: [...cores.map((one) => place(one).outward), ...everyEdge.map((one) => edgeAddresses(one).outward)],
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

  async function drive<Result>(work: Promise<Result>, milliseconds = 30_000): Promise<Result> {
    let done = false;
    void work.then(() => {
      done = true;
    });
    for (let spent = 0; !done && spent < milliseconds; spent += 5) await world.run(5);
    if (!done) throw new Error('the fleet gave no answer in 30 s of virtual time');
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
    return replyOf(await drive(http.exchangeOnce(operator.runtime, address, { method, path, body, headers }, 10_000)));
  }

  async function send(sheet: unknown, coreIndex: number): Promise<HttpReply> {
    const address = identifiers.address(place(cores[coreIndex] as CoreSlot).outward);
    return replyOf(
      await http.exchangeOnce(
        operator.runtime,
        address,
        { method: 'PUT', path: '/v1/sheet', body: { sheet, sentBy: `operator-${coreIndex}` } },
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
      await drive(
        http.exchangeOnce(clients.runtime, address, { method, path, body, headers: { 'x-stallstall-key': clientKey, ...headers } }, 10_000),
      ),
    );
  }

  const ready = new Set<EdgeSlot>();

  /** The platform sends senders only to edges whose readiness it has found. */
  async function probeReadiness(edge: EdgeSlot): Promise<void> {
    const reply = await http.exchangeOnce(
      chooser.runtime,
      identifiers.address(edgeAddresses(edge).proxy),
      { method: 'GET', path: '/ready' },
      readyMilliseconds,
    );
    if (Either.isRight(reply) && reply.right.status === 200) ready.add(edge);
    else ready.delete(edge);
  }

  function startClients(wishes: ClientOptions = {}): Readonly<{ stop: () => void }> {
    for (const edge of everyEdge)
      void runtimeUtilities.every(
        chooser.runtime.clock,
        readyMilliseconds,
        () => probeReadiness(edge),
        () => true,
      );
    return client.start(
      clients.runtime,
      {
        deployment,
        key: clientKey,
        sessions: deployment.sessions * (wishes.factor ?? 1),
        requestsPerSecond: deployment.requestsPerSecond * (wishes.factor ?? 1),
        hastyShare: wishes.hastyShare ?? 0,
        deadlineMilliseconds: 3_000,
        tag: 's',
        edges: function edgesReady() {
          const known = [...ready].map((slot) => edgeAddresses(slot).proxy);
          const favourite = known[0];
          return favourite !== undefined && world.fraction() < (wishes.crowded ?? 0) ? [favourite] : known;
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
    const sane = cores.filter(
      (slot) =>
        slot.process?.alive() === true &&
        !world.isFrozen(slot.process) &&
        slot.running?.isOpen() === true &&
        !slot.disk.faults.failing &&
        slot.disk.faults.slowMilliseconds < 300,
    );
    const takes = platformSlot !== undefined && !platformSlot.knobs.down && !platformSlot.knobs.denies;
    return (
      takes &&
      sane.some((one, index) =>
        sane
          .slice(index + 1)
          .some(
            (other) =>
              world.isConnected(one.machine, other.machine) &&
              (world.isConnected(one.machine, platformMachine) || world.isConnected(other.machine, platformMachine)),
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
    const running = platformSlot;
    return (
      processes.every((one) => one?.alive() === true && !world.isFrozen(one)) &&
      cores.every((slot) => slot.running !== undefined && !slot.disk.faults.failing && slot.disk.faults.slowMilliseconds === 0) &&
      running !== undefined &&
      !running.knobs.down &&
      !running.knobs.denies &&
      !running.knobs.losesReplies &&
      !running.knobs.garbles &&
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
