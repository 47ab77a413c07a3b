export * from './world.js';
export * from './fleet.js';
export * from './core-fleet.js';
export * from './checks.js';
export * from './storm.js';
export * from './fuzz.js';
