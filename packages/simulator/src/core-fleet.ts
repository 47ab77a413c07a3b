/** A simulated fleet of cores whose core set changes without an operator, and one edge that holds leases from them (design 4.8). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { core, type Core, type PlatformApi } from '@stallstall/core';
import { fault, type Runtime } from '@stallstall/kernel';
import type { PlatformCall } from '@stallstall/election';
import { leaseHolder as leaseHolders, type LeaseHolder } from '@stallstall/lease';
import { registerService } from '@stallstall/register';
import { areas, deployments, redComun } from '@stallstall/fakes';
import type { NetworkOptions } from './simulated-network.js';
import { world as worlds, type Process, type SimulatedDisk, type World } from './world.js';

export type CoreMachine = {
  readonly name: string;
  readonly machine: string;
  address: string;
  outward: string;
  disk: SimulatedDisk;
  process: Process | undefined;
  running: Core | undefined;
  platformApi: PlatformApi | undefined;
};

export type FleetEdge = Readonly<{ edge: LeaseHolder; machine: string; runtime: Runtime }>;

export type CoreFleet = Readonly<{
  world: World;
  machines: CoreMachine[];
  edge: LeaseHolder;
  /** Starts another edge on its own machine. */
  startEdge: (name: string, seeds: readonly string[]) => FleetEdge;
  /** The service that has an epoch, and the configuration content that every version has here. */
  service: string;
  configuration: unknown;
  /** The runtime of a machine that can reach every core. */
  operatorRuntime: Runtime;
  /** Sends configuration versions one after the other, each to the next core in turn, until stopped. */
  startOperator: (everyMilliseconds?: number) => Readonly<{ stop: () => void }>;
  /** The highest configuration version that any core has acknowledged. */
  highestAcknowledgedVersion: () => number;
  acknowledgementsBy: (name: string) => number;
  lastAcknowledger: () => string;
  /** The newest version according to a core; none if it cannot be read. */
  readVersion: (machine: CoreMachine) => Promise<Option.Option<number>>;
  /** Reads that returned an older version than one already acknowledged. */
  violations: readonly string[];
  /** How many samples found the lease of the first edge expired. Expected to be 0 while a majority of cores could grant it. */
  leaseGapCount: () => number;
  start: (machine: CoreMachine, mayFound: boolean) => Promise<void>;
  /** Starts a core with an empty disk on a machine unknown to the others, with the given seed addresses. */
  startBlankCore: (seeds: readonly string[]) => Promise<CoreMachine>;
  kill: (machine: CoreMachine) => void;
  /** Ends a core without closing its connections: the others receive nothing more from its machine until it is started again. */
  losePower: (machine: CoreMachine) => void;
  /** The seed addresses that a machine is given at its next start. */
  nameSeeds: (machine: CoreMachine, seeds: readonly string[]) => void;
  /** An empty disk, as slow as the others. */
  newDisk: () => SimulatedDisk;
  /** Makes each disk write take so much longer, also on machines that are added later. */
  slowDisks: (milliseconds: number) => void;
  /** Makes writes of the configuration's cell take so much longer, one after the other, also on disks that are added later. */
  slowConfigurationWrites: (milliseconds: number) => void;
  /** Cuts a machine off from all others, also from those added later, until `healAll`. */
  isolate: (machine: CoreMachine) => void;
  healAll: () => void;
  machine: (name: string) => CoreMachine;
  coreSetOf: (machine: CoreMachine) => Readonly<{ number: number; cores: readonly string[] }>;
  runUntil: (condition: () => boolean, milliseconds: number) => Promise<boolean>;
}>;

const service = redComun.services[0] as string;
const restartMilliseconds = 500;
const sendMilliseconds = 40;

function unusedCall(): PlatformCall {
  return { retrySafety: 'deduplicated', method: 'POST', path: '/none', body: {} };
}

async function create(seed: number, founderCount: number, networkOptions: NetworkOptions = {}): Promise<CoreFleet> {
  const world = worlds.create(seed, networkOptions);
  const machines: CoreMachine[] = [];
  const seedsOf = new Map<CoreMachine, readonly string[]>();
  const violations: string[] = [];
  const isolatedMachines = new Set<CoreMachine>();
  const acknowledgementCounts = new Map<string, number>();
  let highestAcknowledged = 0;
  let lastAcknowledger = '';
  let lastSentVersion = 0;
  let leaseGapCount = 0;
  let extraWriteMilliseconds = 0;
  let configurationMilliseconds = 0;

  function newDisk(): SimulatedDisk {
    const disk = world.disk();
    disk.faults.slowMilliseconds = extraWriteMilliseconds;
    disk.faults.configurationMilliseconds = configurationMilliseconds;
    return disk;
  }

  function addMachine(): CoreMachine {
    const number = machines.length + 1;
    const machine: CoreMachine = {
      name: `core-${number}`,
      machine: `core-machine-${number}`,
      address: `10.1.0.${number}:7000`,
      outward: `10.1.0.${number}:7001`,
      disk: newDisk(),
      process: undefined,
      running: undefined,
      platformApi: undefined,
    };
    machines.push(machine);
    return machine;
  }

  async function start(machine: CoreMachine, mayFound: boolean): Promise<void> {
    world.restoreMachine(machine.machine);
    const spawned = world.spawn(machine.name, machine.machine, machine.disk);
    machine.process = spawned;
    const seeds = seedsOf.get(machine) ?? [];
    const started = await core.start(
      spawned.runtime,
      {
        node: machine.name,
        area: areas[machines.indexOf(machine) % areas.length] as string,
        address: machine.address,
        outward: machine.outward,
        seeds: () => seeds,
        platform: () => '10.4.0.1:9000',
        cores: 3,
      },
      Option.some({
        calls: { promotion: unusedCall, usage: unusedCall, handoverDelayMilliseconds: 3_000 },
        probe: {
          readState: () =>
            Promise.resolve(
              Either.left(
                fault.create({ kind: 'unreachable', message: 'there are no members in this simulation', remedy: 'none is needed' }),
              ),
            ),
          ensureConnection: () => Promise.resolve(Either.right(null)),
        },
        routes: function capture(platformApi) {
          machine.platformApi = platformApi;
          return [];
        },
        platformApiAddress: machine.outward.replace(':7001', ':7002'),
        mayFound,
        founderAddresses: seeds,
      }),
    );
    if (Either.isRight(started)) machine.running = started.right;
    else spawned.runtime.stop(started.left);
  }

  /** Restarts processes that ended by themselves, as the platform does. */
  function restartEndedCores(): void {
    for (const machine of machines) {
      if (machine.process !== undefined && !machine.process.alive() && Option.isSome(machine.process.stopReason()))
        void start(machine, false);
    }
    world.schedule(restartMilliseconds, restartEndedCores);
  }

  async function startBlankCore(seeds: readonly string[]): Promise<CoreMachine> {
    const machine = addMachine();
    seedsOf.set(machine, seeds);
    for (const isolated of isolatedMachines) isolate(isolated);
    await start(machine, false);
    return machine;
  }

  function kill(machine: CoreMachine): void {
    if (machine.process !== undefined) world.kill(machine.process);
    machine.process = undefined;
    machine.running = undefined;
    machine.platformApi = undefined;
  }

  function losePower(machine: CoreMachine): void {
    world.makeUnresponsive(machine.machine);
    machine.process = undefined;
    machine.running = undefined;
    machine.platformApi = undefined;
  }

  function isolate(machine: CoreMachine): void {
    isolatedMachines.add(machine);
    for (const other of [...machines.map((other) => other.machine), 'edge-machine']) {
      if (other === machine.machine) continue;
      world.cut(other, machine.machine);
      world.cut(machine.machine, other);
    }
  }

  const configuration = deployments.sheet(
    redComun,
    redComun.services.flatMap((name, group) =>
      areas.map((area, index) => ({
        service: name,
        member: `${name}-${index + 1}`,
        area,
        address: `10.3.${group}.${index + 1}:5000`,
        control: `10.3.${group}.${index + 1}:5001`,
      })),
    ),
    'sender-key-0001',
  );

  async function readVersion(machine: CoreMachine): Promise<Option.Option<number>> {
    if (machine.platformApi === undefined || machine.process?.alive() !== true) return Option.none;
    const reading = machine.platformApi.readSource();
    let result: Option.Option<Either.Either<unknown, string>> = Option.none;
    void reading.then((text) => {
      result = Option.some(text);
    });
    for (let elapsed = 0; Option.isNone(result) && elapsed < 10_000; elapsed += 20) await world.run(20);
    const found = Option.toNullable(result as Option.Option<Either.Either<unknown, string>>);
    return found !== null && Either.isRight(found) ? Option.some(Number(found.right)) : Option.none;
  }

  function startOperator(everyMilliseconds = sendMilliseconds): Readonly<{ stop: () => void }> {
    let stopped = false;
    async function send(version: number, machine: CoreMachine): Promise<void> {
      const { platformApi, process } = machine;
      if (platformApi === undefined || process?.alive() !== true) return;
      const configured = await platformApi.configure({ version, source: String(version) }, configuration);
      if (Either.isLeft(configured) || !process.alive()) return;
      highestAcknowledged = Math.max(highestAcknowledged, version);
      acknowledgementCounts.set(machine.name, (acknowledgementCounts.get(machine.name) ?? 0) + 1);
      lastAcknowledger = machine.name;
    }
    async function checkRead(machine: CoreMachine): Promise<void> {
      const { platformApi, process } = machine;
      const before = highestAcknowledged;
      if (platformApi === undefined || process?.alive() !== true) return;
      const read = await platformApi.readSource();
      if (Either.isRight(read) && process.alive() && Number(read.right) < before)
        violations.push(`${machine.name} read ${read.right} after ${before} was acknowledged`);
    }
    function sendNext(): void {
      if (stopped) return;
      lastSentVersion += 1;
      void send(lastSentVersion, machines[lastSentVersion % machines.length] as CoreMachine);
      void checkRead(machines[(lastSentVersion * 7 + 3) % machines.length] as CoreMachine);
      world.schedule(everyMilliseconds, sendNext);
    }
    sendNext();
    return {
      stop: function stop() {
        stopped = true;
      },
    };
  }

  function startEdge(name: string, machine: string, edgeSeeds: readonly string[]): FleetEdge {
    const { runtime } = world.spawn(name, machine);
    const leaseHolder = leaseHolders.create(
      runtime,
      { node: name, area: areas[0] as string, seeds: () => edgeSeeds },
      {
        releasedEpochs: () => ({}),
        commitPositions: () => ({}),
        commitWatermarks: () => ({}),
        commitPositionsAge: () => 0,
        isLeaderMissing: () => false,
        refusedMembers: () => [],
        statementRate: () => 0,
        onChange: () => undefined,
      },
    );
    leaseHolder.start();
    return { edge: leaseHolder, machine, runtime };
  }

  for (let index = 0; index < founderCount; index += 1) addMachine();
  const seeds = machines.slice(0, 3).map((machine) => machine.address);
  for (const machine of machines) seedsOf.set(machine, seeds);
  for (const machine of [...machines]) await start(machine, true);
  const { edge, runtime: edgeRuntime } = startEdge('edge-1', 'edge-machine', seeds);
  const operatorRuntime = world.spawn('operator', 'operator-machine').runtime;
  world.schedule(restartMilliseconds, restartEndedCores);

  async function runUntil(condition: () => boolean, milliseconds: number): Promise<boolean> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 20) {
      if (condition()) return true;
      await world.run(20);
    }
    return condition();
  }

  function isFleetFounded(): boolean {
    return machines.every((machine) => machine.running?.isOpen() === true) && edge.coreCount() === founderCount;
  }

  if (!(await runUntil(isFleetFounded, 10_000))) throw new Error('the cores did not found a fleet');
  const firstCore = machines[0] as CoreMachine;
  const firstConfiguration = firstCore.platformApi?.configure({ version: 0, source: '0' }, configuration);
  const register = firstCore.process?.runtime.services.find(registerService);
  const epochEntry = register?.change(`epoch/${service}`, () =>
    Option.some({ epoch: 1, primary: `${service}-1`, wonBy: firstCore.name, position: 0, settledAt: 0 }),
  );
  let done = false;
  void Promise.all([firstConfiguration, epochEntry]).then(() => {
    done = true;
  });
  if (!(await runUntil(() => done && edge.leaseUntil(service) > edgeRuntime.clock.now(), 10_000)))
    throw new Error('the edge did not obtain a lease');

  function sampleLease(): void {
    if (edge.leaseUntil(service) <= edgeRuntime.clock.now()) leaseGapCount += 1;
    world.schedule(20, sampleLease);
  }
  sampleLease();

  return {
    world,
    machines,
    edge,
    startEdge: (name, edgeSeeds) => startEdge(name, `${name}-machine`, edgeSeeds),
    service,
    configuration,
    operatorRuntime,
    startOperator,
    readVersion,
    violations,
    start,
    startBlankCore,
    kill,
    losePower,
    nameSeeds: (machine, addresses) => void seedsOf.set(machine, addresses),
    slowDisks: function slowDisks(milliseconds) {
      extraWriteMilliseconds = milliseconds;
      for (const machine of machines) machine.disk.faults.slowMilliseconds = milliseconds;
    },
    slowConfigurationWrites: function slowConfigurationWrites(milliseconds) {
      configurationMilliseconds = milliseconds;
      for (const machine of machines) machine.disk.faults.configurationMilliseconds = milliseconds;
    },
    newDisk,
    isolate,
    runUntil,
    healAll: function healAll() {
      isolatedMachines.clear();
      world.healAll();
    },
    highestAcknowledgedVersion: () => highestAcknowledged,
    acknowledgementsBy: (name) => acknowledgementCounts.get(name) ?? 0,
    lastAcknowledger: () => lastAcknowledger,
    leaseGapCount: () => leaseGapCount,
    machine: (name) => machines.find((candidate) => candidate.name === name) as CoreMachine,
    coreSetOf: function coreSetOf(machine) {
      const membership = machine.running?.node.membership();
      return {
        number: membership?.version ?? 0,
        cores: machine.running?.isOpen() === true ? (membership?.value.seats ?? []).map((seat) => seat.node).sort() : [],
      };
    },
  };
}

export const coreFleet = { create } as const;
