/**
 * The operations of one process on a key, one at a time: concurrent rounds of the same process would only overtake each other. A read that
 * waits is answered by any operation that begins after it (design 5.8).
 */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Clock, type Fault, type Instant } from '@stallstall/kernel';
import type { ChangeOutcome } from './register.js';

/** @internal */
export type OperationResult = Either.Either<Fault, ChangeOutcome>;

/** @internal */
export type KeyOperations = Readonly<{
  /** Runs a change after the earlier operations. Errors: those of `start`, and `no-majority` when it was not started by the deadline. */
  change: (key: string, deadline: Instant, start: () => Promise<OperationResult>) => Promise<OperationResult>;
  /** Resolves to the outcome of the first operation on the key that begins from now on and succeeds, at the latest that of `start`. */
  read: (key: string, deadline: Instant, start: () => Promise<OperationResult>) => Promise<OperationResult>;
}>;

type WaitingOperation = Readonly<{
  isRead: boolean;
  start: () => Promise<OperationResult>;
  resolve: (result: OperationResult) => void;
  reject: (error: Error) => void;
}>;

/** The operations that wait while another one on the same key is running. */
type KeyQueue = { readonly waiting: Set<WaitingOperation> };

function notStarted(key: string): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `the operation on ${key} was not started: earlier operations on it were still running`,
    remedy: 'try again',
    retryAfterSeconds: 1,
  });
}

function create(clock: Clock): KeyOperations {
  const queues = new Map<string, KeyQueue>();

  /** Answers the reads that waited when an operation began; after a failure they go on waiting. */
  function answerReads({ waiting }: KeyQueue, reads: readonly WaitingOperation[], result: OperationResult): void {
    if (Either.isLeft(result)) return;
    const outcome: OperationResult = Either.right({ wrote: false, entry: result.right.entry });
    for (const read of reads) if (waiting.delete(read)) read.resolve(outcome);
  }

  async function runNext(queue: KeyQueue, next: WaitingOperation): Promise<void> {
    queue.waiting.delete(next);
    const reads = [...queue.waiting].filter((operation) => operation.isRead);
    try {
      const result = await next.start();
      next.resolve(result);
      answerReads(queue, reads, result);
    } catch (error) {
      next.reject(error as Error);
    }
  }

  async function runAll(key: string, queue: KeyQueue): Promise<void> {
    for (let next = firstOf(queue.waiting); next !== undefined; next = firstOf(queue.waiting)) await runNext(queue, next);
    queues.delete(key);
  }

  function add(key: string, deadline: Instant, isRead: boolean, start: () => Promise<OperationResult>): Promise<OperationResult> {
    return new Promise(function enqueue(resolve, reject) {
      const running = queues.get(key);
      const queue = running ?? { waiting: new Set() };
      const timer = clock.startTimer(Math.max(0, deadline - clock.now()), function giveUp() {
        if (queue.waiting.delete(operation)) resolve(Either.left(notStarted(key)));
      });
      const operation: WaitingOperation = {
        isRead,
        start,
        resolve: function resolveOnce(result) {
          timer.cancel();
          resolve(result);
        },
        reject: function rejectOnce(error) {
          timer.cancel();
          reject(error);
        },
      };
      queue.waiting.add(operation);
      if (running !== undefined) return;
      queues.set(key, queue);
      void runAll(key, queue);
    });
  }

  return {
    change: (key, deadline, start) => add(key, deadline, false, start),
    read: (key, deadline, start) => add(key, deadline, true, start),
  };
}

function firstOf(waiting: ReadonlySet<WaitingOperation>): WaitingOperation | undefined {
  return waiting.values().next().value;
}

/** @internal */
export const keyOperations = { create } as const;
