export * from './liveness.js';
export * from './duty.js';
export * from './election.js';
