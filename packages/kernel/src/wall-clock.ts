/** The wall clock of this process, anchored to the monotonic clock so that a short-lived clock step has no effect (design 8.6). */
import { identifiers, type Instant, type WallTime } from './identifiers.js';

/** A difference up to this is a clock correction and is applied at once. */
const correctionMilliseconds = 100;
/** The share of the elapsed time by which two clocks of one machine may drift apart between two readings. */
const driftShare = 0.02;
/** A clock step that has lasted this long is accepted as the time of day. */
export const lastingStepMilliseconds = 30_000;

/** A changed difference between the time of day and the monotonic clock, and since when it has been observed. */
type Step = Readonly<{ offset: number; since: Instant }>;

/**
 * Creates a wall clock that follows the time of day and accepts a step of it only once the step has lasted.
 * @param monotonic - the monotonic clock
 * @param timeOfDay - the time of day as the machine reports it, which may jump and jump back
 */
function create(monotonic: () => Instant, timeOfDay: () => WallTime): () => WallTime {
  let offset = timeOfDay() - monotonic();
  let step: Step | undefined;
  let lastReadAt = monotonic();

  return function wall() {
    const now = monotonic();
    const current = timeOfDay() - now;
    const allowed = correctionMilliseconds + driftShare * (now - lastReadAt);
    lastReadAt = now;
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
