export * from './member.js';
export * from './platform.js';
export * from './deployment.js';
export * from './client.js';
export * from './session-dialect.js';
export * from './session-member.js';
export * from './session-platform.js';
export * from './session-client.js';
