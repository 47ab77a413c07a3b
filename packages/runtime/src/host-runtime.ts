/** The runtime services of a real machine but for its network and its log's library (design 2.2). */
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

function shown(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text);
}

/** One line of key=value pairs for each event, whatever roarr hands over. */
function line(record: string): string {
  const parsed = JSON.parse(record) as Readonly<{ time: number; message: string; context: LogFields }>;
  const fields = Object.entries(parsed.context).flatMap(([name, value]) => (value === undefined ? [] : [`${name}=${shown(value)}`]));
  return [`at=${new Date(parsed.time).toISOString()}`, `event=${shown(parsed.message)}`, ...fields].join(' ');
}

/** What writes an event, given the library that makes records of events. */
function createLog(
  program: string,
  library: Readonly<{ Roarr: (context: never, message: string) => void; ROARR: { write?: (record: string) => void } }>,
): Log {
  library.ROARR.write = function write(record: string) {
    process.stdout.write(`${line(record)}\n`);
  };
  return function say(event, fields = {}) {
    library.Roarr({ program, ...fields } as never, event);
  };
}

function create(say: Log, network: Network, disk: Option.Option<Disk>): Runtime {
  return {
    protocols: supportedProtocols,
    clock,
    network,
    disk,
    randomness: { fraction: Math.random, token: () => randomBytes(9).toString('base64url') },
    log: say,
    services: runtimeUtilities.directory(),
    stop: function stop(reason: Fault) {
      say('process.stops', { reason: reason.message });
      process.exitCode = 3;
      setTimeout(() => process.exit(3), 20);
    },
  };
}

export const hostRuntime = { create, createLog } as const;
