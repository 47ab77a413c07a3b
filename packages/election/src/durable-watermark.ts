/** The watermark below which every commit was acknowledged: a new primary must hold all of it (design 7.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { DurableWatermarkSchema, message, type DurableWatermark } from '@stallstall/message';
import type { ElectionServices } from './election-services.js';
import type { MemberState } from './member-state.js';

const nothingAcknowledged: DurableWatermark = { epoch: 0, position: 0 };
const registerMilliseconds = 1_500;

/** The register's key for the watermark up to which an operator has accepted that commits are lost (design 7.11). */
export function acceptedLossKey(service: string): string {
  return `waived/${service}`;
}

/** What was acknowledged so far, read from a majority of core disks; none while no majority replies. */
async function read({ durableReports, register }: ElectionServices, service: string): Promise<Option.Option<DurableWatermark>> {
  const [watermarks, acceptedLoss] = await Promise.all([
    durableReports.watermarks(),
    register.read(acceptedLossKey(service), registerMilliseconds),
  ]);
  if (Either.isLeft(watermarks) || Either.isLeft(acceptedLoss)) return Option.none;
  const watermark = watermarks.right[service] ?? nothingAcknowledged;
  const entry = acceptedLoss.right;
  const lostUpTo =
    Option.isSome(entry) && message.matches(DurableWatermarkSchema, entry.value.value) ? entry.value.value : nothingAcknowledged;
  return Option.some(message.compareWatermarks(watermark, lostUpTo) <= 0 ? nothingAcknowledged : watermark);
}

/** Whether a member holds all that was acknowledged: a later epoch began with all of it. */
function isHeldBy(state: MemberState, watermark: DurableWatermark): boolean {
  return state.epoch > watermark.epoch || (state.epoch === watermark.epoch && state.received >= watermark.position);
}

/** @internal */
export const durableWatermark = { read, isHeldBy } as const;
