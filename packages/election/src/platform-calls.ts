/** Requests to a platform that does not implement this product's own HTTP API (design 7.13). */
import type { OutgoingHttpRequest, RetrySafety } from '@stallstall/kernel';

/**
 * A request that is retried unchanged until its outcome is known. The adapter that builds it thereby declares that the platform applies a
 * repeated request only once (design 8.14).
 */
export type PlatformCall = OutgoingHttpRequest & Readonly<{ retrySafety: Extract<RetrySafety, 'deduplicated'> }>;

export type PromotionCall = Readonly<{ service: string; member: string; epoch: number; fencingToken: number; holder: string }>;

/** `counts`: statements that started in the window, by tenant. */
export type UsageCall = Readonly<{
  window: number;
  counts: Readonly<Record<string, number>>;
  fencingToken: number;
  holder: string;
}>;

/** Builds the platform's requests. */
export type PlatformCalls = Readonly<{
  promotion: (call: PromotionCall) => PlatformCall;
  usage: (call: UsageCall) => PlatformCall;
  /** How long a holder that has called the platform waits before it calls again, if another holder has called it in between. */
  handoverDelayMilliseconds: number;
}>;
