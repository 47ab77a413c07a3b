/** The watermark up to which every commit was acknowledged; a new primary must have all of them (design 7.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { DurableWatermarkSchema, message, type DurableWatermark } from '@stallstall/message';
import type { ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';

const zeroWatermark: DurableWatermark = { epoch: 0, position: 0 };
const registerTimeoutMilliseconds = 1_500;

/** The register's key for the watermark up to which an operator has accepted the loss of commits (design 7.11). */
export function acceptedLossKey(service: string): string {
  return `waived/${service}`;
}

/**
 * The watermark of acknowledged commits, read from a majority of core disks; none while no majority replies. A watermark whose loss an
 * operator has accepted counts as zero.
 */
async function read({ durableReports, register }: ElectionServices, service: string): Promise<Option.Option<DurableWatermark>> {
  const [watermarks, acceptedLoss] = await Promise.all([
    durableReports.watermarks(),
    register.read(acceptedLossKey(service), registerTimeoutMilliseconds),
  ]);
  if (Either.isLeft(watermarks) || Either.isLeft(acceptedLoss)) return Option.none;
  const watermark = watermarks.right[service] ?? zeroWatermark;
  const entry = acceptedLoss.right;
  const acceptedLossUpTo =
    Option.isSome(entry) && message.matches(DurableWatermarkSchema, entry.value.value) ? entry.value.value : zeroWatermark;
  return Option.some(message.compareWatermarks(watermark, acceptedLossUpTo) <= 0 ? zeroWatermark : watermark);
}

/** Whether a member has every acknowledged commit. A member at a later epoch does, since its epoch started with all of them. */
function isReachedBy(state: MemberState, watermark: DurableWatermark): boolean {
  return state.epoch > watermark.epoch || (state.epoch === watermark.epoch && state.received >= watermark.position);
}

/** @internal */
export const durableWatermark = { read, isReachedBy } as const;
