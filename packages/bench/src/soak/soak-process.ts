/** One product process of a soak: `soak-process.js SETTINGS-FILE`; SIGTERM ends it as planned, SIGHUP has it read its settings again. */
import type { ProcessMessage } from './soak-messages.js';

// A reload that comes while the rest still loads must not end it.
process.on('SIGHUP', () => undefined);
process.send?.({ kind: 'listening' } satisfies ProcessMessage);
await import('./soak-roles.js');
