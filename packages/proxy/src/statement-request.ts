/** Types that the modules handling a client's statement share (design 8.5). */
import type * as Either from 'fp-ts/lib/Either.js';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Fault, HttpReply, Instant } from '@stallstall/kernel';
import type { MemberConnection } from '@stallstall/pool';
import type { PlacementConfiguration, StatementKind } from '@stallstall/placement';
import type { RouteCandidate, RoutingTable } from '@stallstall/routing';

export type Statement = Readonly<{ text: string; parameters: readonly unknown[] }>;

/** What a request does with its session's transaction; `within`, `commit` and `rollback` require an open one. */
export type TransactionStep = 'none' | 'begin' | 'within' | 'commit' | 'rollback';

export type StatementRequest = Readonly<{
  service: string;
  kind: StatementKind;
  key: string;
  statements: readonly Statement[];
  transaction: TransactionStep;
  /** Id of a session that was opened with this key. */
  session: Option.Option<string>;
  /** Lowest log position that an `own-read` may be served at. */
  atLeast: number;
  timeLimitMilliseconds: number;
}>;

/** The member that a request is to run on, and the epoch of its service. */
export type Target = Readonly<{ choice: RouteCandidate; epoch: number }>;

/**
 * `arrived`: not admitted yet; `waiting`: waits for a member and a connection; `sent`: sent to a member; `confirming`: the reply waits to be
 * durable; `done`: the client has a response.
 */
export type RequestStage = 'arrived' | 'waiting' | 'sent' | 'confirming' | 'done';

/** A statement request and its state. Records are immutable and replaced as a whole. */
export type RequestRecord = Readonly<{
  id: number;
  request: StatementRequest;
  stage: RequestStage;
  arrivedAt: Instant;
  deadline: Instant;
  /** How often the request was sent. */
  attempts: number;
  /** Replicas that failed to serve the request; it is not sent to them again. */
  excludedMembers: ReadonlySet<string>;
  target: Option.Option<Target>;
  connection: Option.Option<MemberConnection>;
}>;

/** The body of the response, or the fault that is returned instead. */
export type Outcome = Either.Either<Fault, HttpReply['body']>;

/** The placement as the agent last reported it, with times on this process's clock (design 8.1). */
export type PlacementSnapshot = Readonly<{
  configuration: Option.Option<PlacementConfiguration>;
  version: number;
  area: string;
  routingTable: RoutingTable;
  /** This edge may act on its configuration until this time. */
  controlTermEnd: Instant;
  /** By service: the epoch that this edge may send to the leader in, and until when. */
  fences: ReadonlyMap<string, Readonly<{ epoch: number; until: Instant }>>;
  draining: boolean;
  /** Whether the member, or this edge, has been draining for so long that not even open transactions may continue. */
  isDrainOverdue: (member: string) => boolean;
}>;
