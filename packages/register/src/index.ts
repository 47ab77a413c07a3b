export * from './acceptor.js';
export * from './proposer.js';
export * from './watcher.js';
export * from './keeper.js';
export * from './notes.js';
export * from './stepper.js';
export * from './difference.js';
