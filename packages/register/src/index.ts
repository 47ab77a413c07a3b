export * from './acceptor.js';
export * from './proposer.js';
export * from './watcher.js';
