/** The runtime of a real host, with the HTTP libraries that the command line uses (design 2.2). */
import type * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Runtime } from '@stallstall/kernel';
import { hostRuntime } from './host-runtime.js';
import { network } from './network.js';

async function create(program: string, disk: Option.Option<Disk>): Promise<Runtime> {
  process.env['ROARR_LOG'] = 'true';
  return hostRuntime.create(hostRuntime.createLog(program, await import('roarr')), network, disk);
}

export const nodeRuntime = { create } as const;
export { disk } from './disk.js';
export { network } from './network.js';
