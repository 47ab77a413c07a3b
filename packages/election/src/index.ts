export * from './liveness.js';
export * from './singleton-role.js';
export * from './election.js';
