#!/usr/bin/env node
// Without a handler, SIGHUP (a settings reload) that arrives while a daemon is still loading would end the process.
if (process.argv[2] === 'run') process.on('SIGHUP', () => undefined);

const { execute } = await import('@oclif/core');
await execute({ dir: import.meta.url });
