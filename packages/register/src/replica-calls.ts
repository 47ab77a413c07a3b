/** Calls to all replicas of the register at once, and what their replies say together (design 5.1, 5.7). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { ballotZero, message, type Entry, type Reply, type Request } from '@stallstall/message';
import type { CoreSetSource, RegisterCall, RegisterReplica } from './register.js';

/** `held`: the replica left its entry out, for it is the one that the proposer holds. @internal */
export type ReplicaReply = Readonly<{ target: RegisterReplica; reply: Reply<'prepare'>; isEntryOmitted: boolean }>;

/** @internal */
export type CallPlan<Call extends RegisterCall> = Readonly<{
  targets: readonly RegisterReplica[];
  call: Call;
  /** The same for all replicas, or by what each holds. */
  bodyFor: (target: RegisterReplica) => Request<Call>;
  /** When no further reply is needed. */
  isEnough: (replies: readonly ReplicaReply[]) => boolean;
  /** Called with a newer set of cores that a replica reports. */
  observe: CoreSetSource['observe'];
  /** So much longer replies are waited for once they are enough. @default 0 */
  lingerMilliseconds?: number;
}>;

/** What one call to a replica may take. */
const callMilliseconds = 800;

/**
 * Sends a call to every replica. Resolves to the replies of those that take part, once they are enough and those that were about to reply
 * had a moment more, or when all have replied or fallen silent.
 */
function sendToAll<Call extends RegisterCall>(runtime: Runtime, plan: CallPlan<Call>): Promise<readonly ReplicaReply[]> {
  const { targets, call, bodyFor, isEnough, observe, lingerMilliseconds = 0 } = plan;
  return new Promise(function collect(resolve) {
    const replies: ReplicaReply[] = [];
    let outstanding = targets.length;
    let isLingering = false;
    function finish(): void {
      resolve([...replies]);
    }
    async function send(target: RegisterReplica): Promise<void> {
      const reply = await target.send(call, bodyFor(target), callMilliseconds);
      outstanding -= 1;
      if (Option.isSome(reply) && reply.value.newer !== undefined) observe(reply.value.newer);
      if (Option.isSome(reply) && reply.value.ready) replies.push({ target, reply: reply.value, isEntryOmitted: false });
      if (outstanding === 0) return finish();
      if (isLingering || !isEnough(replies)) return;
      if (lingerMilliseconds === 0) return finish();
      isLingering = true;
      runtime.clock.startTimer(lingerMilliseconds, finish);
    }
    if (outstanding === 0) finish();
    for (const target of targets) void send(target);
  });
}

/** Puts the entry back that replicas left out. */
function withLocalEntry(replies: readonly ReplicaReply[], known: Option.Option<Entry>): readonly ReplicaReply[] {
  return replies.map(function fill(one) {
    if (one.reply.held !== true || Option.isNone(known)) return one;
    return { ...one, reply: { ...one.reply, accepted: known.value }, isEntryOmitted: true };
  });
}

/** A replica that is sent the complete entry when its held value does not fit the difference it was sent. */
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

/** The replies that agree: that promise, or that accepted. */
function agreed(replies: readonly ReplicaReply[]): readonly ReplicaReply[] {
  return replies.filter((one) => one.reply.agreed);
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

/** Whether all of them hold the entry of the same ballot. */
function isUnanimous(replies: readonly ReplicaReply[]): boolean {
  const first = replies[0]?.reply.accepted?.ballot ?? ballotZero;
  return replies.every(({ reply }) => message.compareBallots(reply.accepted?.ballot ?? ballotZero, first) === 0);
}

/** @internal */
export const replicaCalls = { sendToAll, withLocalEntry, withCompleteEntryOnRequest, agreed, highestEntry, isUnanimous } as const;
