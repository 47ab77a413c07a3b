/** The fleet of a soak: cores, agents and proxies as processes of their own; members, platform, operator and clients as stand-ins here. */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import { http, identifiers, type Runtime } from '@stallstall/kernel';
import { sessionClient } from '@stallstall/fakes';
import { pooledOperator, type OperatorTrouble, type PooledFleet, type PooledSheet } from '@stallstall/simulator';
import { soakClients } from './soak-clients.js';
import { soakMembers, type SoakMember, type SoakMembers } from './soak-members.js';
import { loopback, soakNodes, type SoakEdge, type SoakEvents, type SoakNodes } from './soak-nodes.js';
import { soakSheets } from './soak-sheet.js';

export type SoakFleetOptions = Readonly<{
  folder: string;
  /** The first of the ports that this fleet takes. */
  basePort: number;
  edges: number;
  services: readonly string[];
  synchronousReplicas: number;
  connectionLimit: number;
}>;

export type SoakFleet = SoakNodes &
  Pick<PooledFleet, 'ledger' | 'runs' | 'versions' | 'orderCalls' | 'platformStore' | 'services' | 'firstSheet'> &
  Pick<PooledFleet, 'configure' | 'resend' | 'readBack' | 'call'> &
  Readonly<{
    runtime: Runtime;
    members: SoakMember[];
    operatorTrouble: OperatorTrouble;
    primaryOf: (service: string) => SoakMember | undefined;
    startAll: () => Promise<void>;
    startMember: SoakMembers['start'];
    stopMember: SoakMembers['stop'];
    addMember: SoakMembers['add'];
    startClients: (sessions: number) => Readonly<{ stop: () => void }>;
    isReady: (edge: SoakEdge) => Promise<boolean>;
    stop: () => Promise<void>;
  }>;

const firstMemberPort = 2_000;
const portsOfMember = 2;
const platformPort = 3_000;
const readinessDeadlineMilliseconds = 500;
/** Of openings: clients that have not heard of the newest configuration. */
const lateClientShare = 0.15;

function create(runtime: Runtime, options: SoakFleetOptions, events: SoakEvents): SoakFleet {
  const { folder, basePort, services } = options;
  const platformAddress = loopback(basePort + platformPort);
  const nodes = soakNodes.create({ folder, basePort, edges: options.edges, platformAddress, events });
  const ledger = sessionClient.emptyLedger();
  const versions: PooledFleet['versions'] = [];
  const orderCalls: PooledFleet['orderCalls'] = [];
  const operatorTrouble: OperatorTrouble = { lostShare: 0 };

  function platformApiAddresses(): readonly string[] {
    return nodes.cores.map((core) => loopback(core.base + 2));
  }

  const members = soakMembers.create({
    ...options,
    runtime,
    platformAddress,
    addressesOf: function addressesOf(place) {
      const base = basePort + firstMemberPort + place * portsOfMember;
      return { address: loopback(base), control: loopback(base + 1) };
    },
    platformApiAddresses,
  });
  const operator = pooledOperator.create({
    world: { fraction: runtime.randomness.fraction },
    runtime,
    trouble: operatorTrouble,
    addresses: platformApiAddresses,
    versions,
    orderCalls,
  });

  async function isReady({ base }: SoakEdge): Promise<boolean> {
    const address = identifiers.address(loopback(base + 1));
    const reply = await http.exchangeOnce(runtime, address, { method: 'GET', path: '/ready' }, readinessDeadlineMilliseconds);
    return Either.isRight(reply) && reply.right.status === 200;
  }

  function known(): PooledSheet {
    const isLate = versions.length > 1 && runtime.randomness.fraction() < lateClientShare;
    return versions.at(isLate ? -2 : -1)?.sheet ?? soakSheets.first(options);
  }

  async function startAll(): Promise<void> {
    fs.mkdirSync(folder, { recursive: true });
    await members.startPlatform();
    for (const member of members.list) await members.start(member);
    await Promise.all(nodes.cores.map((core) => nodes.startCore(core, true)));
    await Promise.all(nodes.edges.map(nodes.startEdge));
  }

  return {
    ...nodes,
    ...operator,
    runtime,
    ledger,
    runs: members.runs,
    versions,
    orderCalls,
    platformStore: members.platformStore,
    services,
    firstSheet: () => soakSheets.first(options),
    members: members.list,
    operatorTrouble,
    primaryOf: members.primaryOf,
    startAll,
    startMember: members.start,
    stopMember: members.stop,
    addMember: members.add,
    startClients: function startClients(sessions) {
      const edges = nodes.edges.map((edge) => ({ edge: edge.name, address: loopback(edge.base + 2), isReady: () => isReady(edge) }));
      return soakClients.start({ runtime, ledger, edges, known }, sessions);
    },
    isReady,
    stop: async function stop() {
      await Promise.all(nodes.processes().map((one) => one.kill()));
      await members.stopAll();
    },
  };
}

export const soakFleet = { create } as const;
