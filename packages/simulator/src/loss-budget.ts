/** How many cores a seeded run may lose at once: a loss beyond the tolerance waits its turn (design 10.4.1). */
import type { World } from './world.js';

/** Ends a loss: what it took is back since then, by default since now. */
export type Back = (since?: number) => void;
export type Loss = (back: Back) => void;

export type LossBudget = Readonly<{
  /**
   * Runs losses one after the other, each as soon as no other core counts as lost, in the order in which they came.
   * `first`: before all that wait and have not begun, unless they are to be first as well.
   */
  take: (losses: readonly Loss[], first?: boolean) => void;
  /** Moments at which a loss began or ended. */
  moments: readonly number[];
  /** How many cores may be missing now. */
  underWay: () => number;
  /** Nothing is lost, and whatever was lost has been back for long enough. */
  idle: () => boolean;
  /** Losses that still wait are dropped, and nothing more is to be struck. */
  close: () => void;
  closed: () => boolean;
}>;

/** A core counts as lost until so long after it is back. */
export const settleMilliseconds = 4_000;

function create(world: World): LossBudget {
  const waitingFirst: Array<readonly Loss[]> = [];
  const waiting: Array<readonly Loss[]> = [];
  const moments: number[] = [];
  let begun: Loss[] = [];
  let busy = false;
  let underWay = 0;
  let closed = false;

  /** The rest of what has begun goes on before anything else begins. */
  function nextLoss(): Loss | undefined {
    if (begun.length === 0) begun = [...(waitingFirst.shift() ?? waiting.shift() ?? [])];
    return begun.shift();
  }

  function next(): void {
    const loss = busy || closed ? undefined : nextLoss();
    if (loss === undefined) return;
    busy = true;
    underWay += 1;
    moments.push(world.now());
    let ended = false;
    loss(function back(since = world.now()) {
      if (ended) return;
      ended = true;
      underWay -= 1;
      moments.push(world.now());
      world.schedule(Math.max(0, since + settleMilliseconds - world.now()), function settled() {
        busy = false;
        next();
      });
    });
  }

  return {
    take: function take(losses, first = false) {
      (first ? waitingFirst : waiting).push(losses);
      next();
    },
    moments,
    underWay: () => underWay,
    idle: () => !busy,
    close: function close() {
      closed = true;
    },
    closed: () => closed,
  };
}

export const lossBudget = { create } as const;
