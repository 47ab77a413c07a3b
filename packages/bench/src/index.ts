export * from './real-fleet.js';
export * from './hollow/dialect.js';
export * from './hollow/fit.js';
export * from './hollow/run.js';
