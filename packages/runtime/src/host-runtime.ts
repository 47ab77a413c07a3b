/** The runtime of a real host, except for its network and the logging library (design 2.2). */
import { randomBytes } from 'node:crypto';
import type * as Option from 'fp-ts/lib/Option.js';
import {
  runtimeUtilities,
  supportedProtocols,
  type Disk,
  type Fault,
  type Runtime,
  type Log,
  type LogFields,
  type Network,
} from '@stallstall/kernel';
import { clock } from './clock.js';

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats a JSON record of roarr as one line of key=value pairs. */
function formatRecord(record: string): string {
  const parsed = JSON.parse(record) as Readonly<{ time: number; message: string; context: LogFields }>;
  const fields = Object.entries(parsed.context).flatMap(([name, value]) => (value === undefined ? [] : [`${name}=${formatValue(value)}`]));
  return [`at=${new Date(parsed.time).toISOString()}`, `event=${formatValue(parsed.message)}`, ...fields].join(' ');
}

/** Returns the log function of a program, on top of the roarr library. */
function createLog(
  program: string,
  library: Readonly<{ Roarr: (context: never, message: string) => void; ROARR: { write?: (record: string) => void } }>,
): Log {
  library.ROARR.write = function write(record: string) {
    process.stdout.write(`${formatRecord(record)}\n`);
  };
  return function log(event, fields = {}) {
    library.Roarr({ program, ...fields } as never, event);
  };
}

function create(log: Log, network: Network, disk: Option.Option<Disk>): Runtime {
  return {
    protocols: supportedProtocols,
    clock,
    network,
    disk,
    randomness: { fraction: Math.random, token: () => randomBytes(9).toString('base64url') },
    log,
    services: runtimeUtilities.directory(),
    stop: function stop(reason: Fault) {
      log('process.stops', { reason: reason.message });
      process.exitCode = 3;
      setTimeout(() => process.exit(3), 20);
    },
  };
}

export const hostRuntime = { create, createLog } as const;
