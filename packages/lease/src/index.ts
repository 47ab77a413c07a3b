export type { CommitWatermark } from './commit-watermarks.js';
export type { LeaseHolderCallbacks, LeaseHolderSettings } from './holder-context.js';
export * from './lease-grantor.js';
export * from './lease-holder.js';
