export { appliedValues } from './applied-values.js';
export * from './configuration.js';
export { heartbeatMilliseconds } from './node-context.js';
export * from './node-parts.js';
export * from './node-settings.js';
export * from './node.js';
