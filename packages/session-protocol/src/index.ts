export * from './dialect.js';
export * from './member-connection.js';
export * from './member-prober.js';
export * from './repeatable-commands.js';
