/** Trouble of the platform that takes promotions and usage: slow, down, silent, or with its connections reset. */
import type { SessionPlatformKnobs } from '@stallstall/fakes';
import type { PooledFleet } from '../pooled-model.js';
import { trouble, type PooledEvent, type PooledStorm } from './common.js';
import { between, pick } from '../draws.js';

/** How late a promotion takes effect is the platform's own way, and no trouble. */
export const calmPlatform: Omit<SessionPlatformKnobs, 'effectAfterReplyMilliseconds'> = {
  slowMilliseconds: 0,
  down: false,
  losesReplies: false,
};
const resetGapMilliseconds = 500;

function spoil(fleet: PooledFleet, storm: PooledStorm, knobs: Partial<SessionPlatformKnobs>): void {
  const milliseconds = between(fleet, 2_000, 12_000);
  trouble(fleet, storm, 'platform', milliseconds);
  Object.assign(fleet.platform().knobs, knobs);
  fleet.world.schedule(milliseconds, () => void Object.assign(fleet.platform().knobs, calmPlatform));
}

function anyTrouble(fleet: PooledFleet, storm: PooledStorm): void {
  const slow = { slowMilliseconds: between(fleet, 300, 3_000) };
  spoil(fleet, storm, pick(fleet, [slow, { down: true }, { losesReplies: true }]));
}

/** Its connections are reset again and again for a while. */
function reset(fleet: PooledFleet, storm: PooledStorm): void {
  const until = fleet.world.now() + between(fleet, 2_000, 8_000);
  trouble(fleet, storm, 'platform', until - fleet.world.now());
  function round(): void {
    if (fleet.world.now() >= until) return;
    fleet.world.resetConnections(fleet.platformProcess(), 1);
    fleet.world.schedule(resetGapMilliseconds, round);
  }
  round();
}

export const platformFaults: readonly PooledEvent[] = [
  { name: 'platform-slow', run: anyTrouble },
  { name: 'platform-down', run: (fleet, storm) => spoil(fleet, storm, { down: true }) },
  { name: 'platform-silent', run: (fleet, storm) => spoil(fleet, storm, { losesReplies: true }) },
  { name: 'platform-reset', run: reset },
];
