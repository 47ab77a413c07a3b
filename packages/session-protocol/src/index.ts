export * from './dialect.js';
export * from './line.js';
export * from './prober.js';
export * from './repeatable.js';
