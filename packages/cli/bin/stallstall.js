#!/usr/bin/env node
// A reload that comes while a daemon still loads must not end it.
if (process.argv[2] === 'run') process.on('SIGHUP', () => undefined);

const { execute } = await import('@oclif/core');
await execute({ dir: import.meta.url });
