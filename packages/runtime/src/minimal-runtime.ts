/** The runtime of a real host for programs that must start fast: HTTP is based on Node.js alone (design 2.7). */
import './enable-logging.js';
import { ROARR, Roarr } from 'roarr';
import type * as Option from 'fp-ts/lib/Option.js';
import type { Disk, Runtime, Network } from '@stallstall/kernel';
import { hostRuntime } from './host-runtime.js';
import { links } from './links.js';
import { connect } from './minimal-http-connection.js';
import { serve } from './minimal-http-server.js';
import { streams } from './streams.js';

export const minimalNetwork: Network = {
  listen: links.listen,
  open: links.open,
  listenStream: streams.listen,
  openStream: streams.open,
  serve,
  connect,
};

/** @param program - the name of the program in its log */
function create(program: string, disk: Option.Option<Disk>): Runtime {
  return hostRuntime.create(hostRuntime.createLog(program, { Roarr, ROARR }), minimalNetwork, disk);
}

export const minimalRuntime = { create } as const;
