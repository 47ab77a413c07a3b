/** The state that the steps of units.feature share. */
import type { Runtime, Instant, Listener } from '@stallstall/kernel';
import type { LeaseHolder, LeaseGrantor } from '@stallstall/lease';
import type { MemberRegistry } from '@stallstall/member-registry';
import type { Request, Reply } from '@stallstall/message';
import type { Caller } from '@stallstall/peer';
import type { Connections, PooledConnection } from '@stallstall/pooler/connections';
import type { World, Process } from '@stallstall/simulator';

export type StubCore = {
  epoch: number | undefined;
  isSilent: boolean;
  ready: boolean;
  number: number;
  electedEpoch: number;
  delayMilliseconds: number;
  reportedHoldMilliseconds: number;
  subscribers: Set<Caller>;
  reply: ((request: Request<'lease'>) => Promise<Partial<Reply<'lease'>>>) | undefined;
};

export type UnitStory = {
  world: World;
  runtime: Runtime;
  registry: MemberRegistry;
  otherRegistry: MemberRegistry;
  appliedBySequence: Map<number, boolean>;
  versionBefore: number;
  cores: StubCore[];
  leaseHolder: LeaseHolder;
  releaseHeldRequests: () => void;
  leaseGrantor: LeaseGrantor;
  epoch: number;
  servingSince: Instant;
  ready: boolean;
  replies: Array<Readonly<{ at: number; reply: Reply<'lease'> }>>;
  changedAt: number;
  connections: Connections;
  member: Process;
  memberListening: Listener;
  receivedMessages: string[];
  openReply: string;
  requestResults: boolean[];
  pooledConnection: PooledConnection;
};
