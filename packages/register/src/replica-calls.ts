/** Calls to all replicas of the register at once, and the evaluation of their replies (design 5.1, 5.7). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { ballotZero, message, type Entry, type Reply, type Request } from '@stallstall/message';
import type { CoreSetSource, RegisterCall, RegisterReplica } from './register.js';

/** How a replica responded to a call; `no-reply` also stands for a reply that has not arrived yet. @internal */
export type ReplicaResponse = 'agreed' | 'higher-ballot' | 'not-ready' | 'newer-core-set' | 'no-reply';

/** `isEntryOmitted`: the replica omitted its entry, because it is the one the proposer already has. @internal */
export type ReplicaReply = Readonly<{ target: RegisterReplica; reply: Reply<'prepare'>; isEntryOmitted: boolean }>;

/** @internal */
export type CallPlan<Call extends RegisterCall> = Readonly<{
  targets: readonly RegisterReplica[];
  call: Call;
  /** The request for one replica. */
  bodyFor: (target: RegisterReplica) => Request<Call>;
  /** How many counted replies suffice. */
  majority: number;
  /** Whether a reply counts towards the majority. */
  isCounted: (reply: ReplicaReply) => boolean;
  /** Called with a newer core set that a replica reports. */
  observe: CoreSetSource['observe'];
  /** Called with each replica before it is called, and again with its response. */
  recordResponse: (core: string, response: ReplicaResponse) => void;
  /** How long to wait for further replies once there are enough. @default 0 */
  lingerMilliseconds?: number;
}>;

/** Timeout of one call to a replica. */
const callTimeoutMilliseconds = 800;

function responseOf(reply: Option.Option<Reply<RegisterCall>>): ReplicaResponse {
  if (Option.isNone(reply)) return 'no-reply';
  if (reply.value.newer !== undefined) return 'newer-core-set';
  if (!reply.value.ready) return 'not-ready';
  return reply.value.agreed ? 'agreed' : 'higher-ballot';
}

/**
 * Sends a call to every replica. Resolves to the replies of the replicas that take part, as soon as these suffice and the linger time has
 * passed, or as soon as they can no longer suffice.
 */
function sendToAll<Call extends RegisterCall>(runtime: Runtime, plan: CallPlan<Call>): Promise<readonly ReplicaReply[]> {
  const { targets, call, bodyFor, majority, isCounted, observe, recordResponse, lingerMilliseconds = 0 } = plan;
  return new Promise(function collect(resolve) {
    const replies: ReplicaReply[] = [];
    let outstanding = targets.length;
    let counted = 0;
    let isLingering = false;
    function finish(): void {
      resolve([...replies]);
    }
    async function send(target: RegisterReplica): Promise<void> {
      recordResponse(target.core, 'no-reply');
      const reply = await target.send(call, bodyFor(target), callTimeoutMilliseconds);
      outstanding -= 1;
      recordResponse(target.core, responseOf(reply));
      if (Option.isSome(reply) && reply.value.newer !== undefined) observe(reply.value.newer);
      if (Option.isSome(reply) && reply.value.ready) {
        const received = { target, reply: reply.value, isEntryOmitted: false };
        replies.push(received);
        if (isCounted(received)) counted += 1;
      }
      if (outstanding === 0 || counted + outstanding < majority) return finish();
      if (isLingering || counted < majority) return;
      if (lingerMilliseconds === 0) return finish();
      isLingering = true;
      runtime.clock.startTimer(lingerMilliseconds, finish);
    }
    if (outstanding === 0) finish();
    for (const target of targets) void send(target);
  });
}

/** Fills in the entry that replicas omitted because the proposer already has it. */
function withLocalEntry(replies: readonly ReplicaReply[], localEntry: Option.Option<Entry>): readonly ReplicaReply[] {
  return replies.map(function fill(received) {
    if (received.reply.held !== true || Option.isNone(localEntry)) return received;
    return { ...received, reply: { ...received.reply, accepted: localEntry.value }, isEntryOmitted: true };
  });
}

/** A replica that is sent the complete entry if it replies that the difference does not apply to its own entry. */
function withCompleteEntryOnRequest(target: RegisterReplica, complete: Request<'accept'>): RegisterReplica {
  return {
    ...target,
    send: async function send(call, body, milliseconds) {
      const reply = await target.send(call, body, milliseconds);
      const wantsComplete = Option.isSome(reply) && 'whole' in reply.value && reply.value.whole === true;
      return wantsComplete ? target.send(call, complete, milliseconds) : reply;
    },
  };
}

/** Whether a reply promises the ballot, or says that the entry was accepted. */
function isAgreeing({ reply }: ReplicaReply): boolean {
  return reply.agreed;
}

function agreeing(replies: readonly ReplicaReply[]): readonly ReplicaReply[] {
  return replies.filter(isAgreeing);
}

/** The accepted entry with the highest ballot. */
function highestEntry(replies: readonly ReplicaReply[]): Option.Option<Entry> {
  let highest: Entry | null = null;
  for (const { reply } of replies) {
    const { accepted } = reply;
    if (accepted === null) continue;
    if (highest === null || message.compareBallots(accepted.ballot, highest.ballot) > 0) highest = accepted;
  }
  return Option.fromNullable(highest);
}

/** Whether all replicas have an entry with the same ballot. */
function isUnanimous(replies: readonly ReplicaReply[]): boolean {
  const first = replies[0]?.reply.accepted?.ballot ?? ballotZero;
  return replies.every(({ reply }) => message.compareBallots(reply.accepted?.ballot ?? ballotZero, first) === 0);
}

/** @internal */
export const replicaCalls = {
  sendToAll,
  withLocalEntry,
  withCompleteEntryOnRequest,
  isAgreeing,
  agreeing,
  highestEntry,
  isUnanimous,
} as const;
