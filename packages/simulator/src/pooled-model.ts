/** What an in-memory fleet of the pooled mode is made of: machines, placement configurations, and the fleet as faults and checkers see it. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { LeaseAgent } from '@stallstall/agent';
import type { Core } from '@stallstall/core';
import type { HttpReply } from '@stallstall/kernel';
import type { Pooler } from '@stallstall/pooler';
import type { Condition, StatementReply } from '@stallstall/session-protocol';
import type {
  SessionLedger,
  SessionLine,
  SessionMember,
  SessionMemberStore,
  SessionPlatform,
  SessionPlatformStore,
  SessionRun,
} from '@stallstall/fakes';
import type { OrderCall } from './order-checks.js';
import type { Process, SimulatedDisk, World } from './world.js';

/** The tenant under which the fleet's own connections to members are opened. */
export const ownTenant = 'stallstall-itself';
export const firstKey = 'key-one';
export const spareKey = 'key-spare';

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
  agent: LeaseAgent | undefined;
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
  /** Kills the agent of an edge and starts another one beside its proxy. */
  restartAgent: (slot: PooledEdge) => Promise<void>;
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
  /** @param steadySessions - beside the others, sessions that are never idle for long */
  startClients: (sessions: number, thinkMilliseconds: number, steadySessions?: number) => Readonly<{ stop: () => void }>;
  primaryOf: (service: string) => PooledMember | undefined;
  until: (condition: () => boolean, milliseconds: number) => Promise<boolean>;
  drive: <Result>(work: Promise<Result>, milliseconds?: number) => Promise<Result>;
  machines: () => readonly string[];
}>;
