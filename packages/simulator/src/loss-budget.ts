/** How many cores a seeded run may lose at once: a loss beyond the tolerance waits its turn (design 10.4.1). */
import type { World } from './world.js';

/** Ends a loss: what it took is back since then, by default since now. */
export type Back = (since?: number) => void;
export type Loss = (back: Back) => void;

export type LossBudget = Readonly<{
  /** Runs a loss as soon as no other core counts as lost, in the order in which they came. */
  take: (loss: Loss) => void;
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
  const waiting: Loss[] = [];
  const moments: number[] = [];
  let busy = false;
  let underWay = 0;
  let closed = false;

  function next(): void {
    const loss = busy || closed ? undefined : waiting.shift();
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
      world.at(Math.max(0, since + settleMilliseconds - world.now()), function settled() {
        busy = false;
        next();
      });
    });
  }

  return {
    take: function take(loss) {
      waiting.push(loss);
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
