/** What the modules of a stand-in member share. */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { Condition } from '@stallstall/session-protocol';
import type { MemberLog } from './member-log.js';
import type { MemberSlots } from './member-slots.js';
import type {
  SessionCommit,
  SessionMemberKnobs,
  SessionMemberSettings,
  SessionMemberStore,
  SessionRun,
  SessionWrite,
} from './session-member-types.js';

export type MemberTransaction = {
  readonly number: number;
  readonly readOnly: boolean;
  /** The member's term when it began. */
  readonly term: number;
  readonly writes: SessionWrite[];
  failed: boolean;
  /** Statements that ran in it. */
  ran: number;
};

/** A connection of the session wire; `tenant` is empty until it is opened. */
export type MemberConnection = {
  readonly number: number;
  tenant: string;
  readonly values: Map<string, string>;
  readonly prepared: Map<string, Readonly<{ verb: string; text: string }>>;
  transaction: Option.Option<MemberTransaction>;
};

export type MemberParts = Readonly<{
  runtime: Runtime;
  settings: SessionMemberSettings;
  store: SessionMemberStore;
  knobs: SessionMemberKnobs;
  log: MemberLog;
  slots: MemberSlots;
  /** A commit was appended here, as the leader. */
  onCommit: () => void;
  /** How many replicas have received the log up to this number. */
  receivedBy: (number: number) => number;
  onRun: (run: SessionRun) => void;
  stopped: () => boolean;
}>;

/** What came of a statement. */
export type Outcome = Readonly<{ rows?: readonly string[]; stamp: string }> | Readonly<{ condition: Condition }>;

/** What came of a commit or of a single write. */
export type Committed = Option.Option<SessionCommit>;

let lastNumber = 0;

/** Numbers connections, transactions and runs of all members, so that none is ever met twice. */
export function nextNumber(): number {
  lastNumber += 1;
  return lastNumber;
}
