/** The types of a client's statement on its way through the proxy. The modules that handle statements import these (design 8.5). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault, HttpReply, Instant } from '@stallstall/kernel';
import type { MemberConnection } from '@stallstall/pool';
import type { PlacementConfiguration, StatementKind } from '@stallstall/placement';
import type { RouteCandidate, RoutingTable } from '@stallstall/routing';

export type Statement = Readonly<{ text: string; parameters: readonly unknown[] }>;

/** What a request does with its session's transaction; `within`, `commit` and `rollback` need an open one. */
export type TransactionStep = 'none' | 'begin' | 'within' | 'commit' | 'rollback';

export type StatementRequest = Readonly<{
  service: string;
  kind: StatementKind;
  key: string;
  statements: readonly Statement[];
  transaction: TransactionStep;
  /** The id of a session that is known to be this key's. */
  session: Option.Option<string>;
  /** An own-read sees at least this position. */
  atLeast: number;
  timeLimitMilliseconds: number;
}>;

/** Where a request is to run, and under which epoch of its service. */
export type Target = Readonly<{ choice: RouteCandidate; epoch: number }>;

/** `arrived`, `waiting`: to be placed; `sent`: on a connection; `confirming`: replied, and to be made durable; `done`: the client has a response. */
export type RequestStage = 'arrived' | 'waiting' | 'sent' | 'confirming' | 'done';

/** A statement request with the state of its handling. Records are replaced, never changed. */
export type RequestRecord = Readonly<{
  id: number;
  request: StatementRequest;
  stage: RequestStage;
  arrivedAt: Instant;
  deadline: Instant;
  /** How many times it was sent. */
  attempts: number;
  /** Replicas that failed it: it is not sent there again. */
  excludedMembers: ReadonlySet<string>;
  target: Option.Option<Target>;
  connection: Option.Option<MemberConnection>;
}>;

/** The body of the response, or why there is none. */
export type Outcome = Either.Either<Fault, HttpReply['body']>;

/** What the agent's feed says, in this process's own clock (design 8.1). */
export type PlacementSnapshot = Readonly<{
  configuration: Option.Option<PlacementConfiguration>;
  version: number;
  area: string;
  routingTable: RoutingTable;
  /** Until then this edge may act on its configuration. */
  controlTermEnd: Instant;
  /** By service: the epoch that this edge is fenced to, and until when. */
  fences: ReadonlyMap<string, Readonly<{ epoch: number; until: Instant }>>;
  draining: boolean;
  /** Whether nothing more may be sent to the member, because it or this whole edge was to go so long ago. */
  isDrainOverdue: (member: string) => boolean;
}>;
