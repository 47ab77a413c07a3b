/** The time of day as this process goes by it: anchored to the steady clock, so that a step which does not last moves nothing (design 8.6). */
import { identifiers, type Instant, type WallTime } from './identifiers.js';

/** A difference within this is a correction, and followed at once. */
const followMilliseconds = 100;
/** Two clocks of one machine may drift so far apart between two looks. */
const driftShare = 0.02;
/** A step that has lasted for so long is the time of day from then on. */
export const lastingStepMilliseconds = 30_000;

/** The difference between the time of day and the steady clock, and since when it has been seen. */
type Step = Readonly<{ offset: number; since: Instant }>;

/**
 * Creates a wall clock that follows the time of day, and takes over a step of it once the step has lasted.
 * @param steady - the steady clock
 * @param timeOfDay - the time of day as the machine reports it, which may jump and jump back
 */
function create(steady: () => Instant, timeOfDay: () => WallTime): () => WallTime {
  let offset = timeOfDay() - steady();
  let step: Step | undefined;
  let lookedAt = steady();

  return function wall() {
    const now = steady();
    const current = timeOfDay() - now;
    const allowed = followMilliseconds + driftShare * (now - lookedAt);
    lookedAt = now;
    if (Math.abs(current - offset) <= allowed) {
      offset = current;
      step = undefined;
    } else if (step === undefined || Math.abs(current - step.offset) > allowed) {
      step = { offset: current, since: now };
    } else if (now - step.since >= lastingStepMilliseconds) {
      offset = current;
      step = undefined;
    } else {
      step = { offset: current, since: step.since };
    }
    return identifiers.wallTime(now + offset);
  };
}

export const wallClock = { create } as const;
