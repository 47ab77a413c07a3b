export * from './real-fleet.js';
