export * from './identifiers.js';
export * from './fault.js';
export * from './owner.js';
export * from './kernel.js';
export * from './http.js';
export * from './repeatable.js';
export * from './waiters.js';
