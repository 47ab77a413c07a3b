export * from './member.js';
export * from './platform.js';
export * from './deployment.js';
export * from './sender.js';
