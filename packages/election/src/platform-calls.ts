/** How the platform is called where it does not speak this product's own HTTP (design 7.13). */
import type { OutgoingHttpRequest, Repeatable } from '@stallstall/kernel';

/**
 * A call that is retried unchanged until its outcome is known: whoever puts it into a platform's words states that the platform takes it
 * once (design 8.14).
 */
export type PlatformCall = OutgoingHttpRequest & Readonly<{ repeatable: Extract<Repeatable, 'unchanged'> }>;

export type PromotionCall = Readonly<{ service: string; member: string; epoch: number; fencingToken: number; holder: string }>;

/** `counts`: statements that began to run in the window, by tenant. */
export type UsageCall = Readonly<{
  window: number;
  counts: Readonly<Record<string, number>>;
  fencingToken: number;
  holder: string;
}>;

export type PlatformCalls = Readonly<{
  promotion: (call: PromotionCall) => PlatformCall;
  usage: (call: UsageCall) => PlatformCall;
  /** How long a holder that has acted waits before it acts again, should another have acted in between. */
  handoverDelayMilliseconds: number;
}>;
