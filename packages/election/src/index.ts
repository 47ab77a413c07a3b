export * from './member-state.js';
export * from './liveness.js';
export { singletonRole, type SingletonRole } from './singleton-role.js';
export type { RoleLease } from './role-lease.js';
export * from './vote.js';
export * from './platform-calls.js';
export * from './election-context.js';
export * from './election.js';
export { acceptedLossKey } from './durable-watermark.js';
