export * from './lease-timing.js';
export * from './quorum-lease.js';
