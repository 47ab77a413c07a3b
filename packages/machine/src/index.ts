// The kernel services of a real machine (design 2.2).
import { randomBytes } from 'node:crypto';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, kernel as kernels, protocolsSpoken, type Clock, type Disk, type Fault, type Kernel, type Log, type LogFields } from '@stallstall/kernel';
import { network } from './network.js';

const clock: Clock = {
  now: () => identifiers.instant(performance.now()),
  wall: () => identifiers.wallTime(Date.now()),
  alarm: function alarm(milliseconds, action) {
    const alarm = setTimeout(action, milliseconds);
    return { cancel: () => clearTimeout(alarm) };
  },
  sleep: (milliseconds) => new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  }),
};

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

async function log(program: string): Promise<Log> {
  process.env['ROARR_LOG'] = 'true';
  const { Roarr, ROARR } = await import('roarr');
  ROARR.write = function write(record: string) {
    process.stdout.write(`${line(record)}\n`);
  };
  return function say(event, fields = {}) {
    Roarr({ program, ...fields } as never, event);
  };
}

async function create(program: string, disk: Option.Option<Disk>): Promise<Kernel> {
  const say = await log(program);
  return {
    protocols: protocolsSpoken,
    clock,
    network,
    disk,
    randomness: { fraction: Math.random, token: () => randomBytes(9).toString('base64url') },
    log: say,
    services: kernels.directory(),
    stop: function stop(reason: Fault) {
      say('process.stops', { reason: reason.message });
      process.exitCode = 3;
      setTimeout(() => process.exit(3), 20);
    },
  };
}

export const machine = { create } as const;
export { disk } from './disk.js';
export { network } from './network.js';
