export * from './world.js';
export * from './fleet.js';
export * from './checks.js';
export * from './storm.js';
export * from './fuzz.js';
export * from './pooled-fleet.js';
