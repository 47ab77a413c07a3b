/** The network of a real machine: TCP by IP numbers, HTTP through fastify and undici (design 2.2). */
import type { Network } from '@stallstall/kernel';
import { serve } from './fastify-server.js';
import { links } from './links.js';
import { streams } from './streams.js';
import { connect } from './undici-connection.js';

export const network: Network = {
  listen: links.listen,
  open: links.open,
  listenStream: streams.listen,
  openStream: streams.open,
  serve,
  connect,
};
