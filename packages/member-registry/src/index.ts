export * from './member-registry.js';
