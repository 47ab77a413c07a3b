/** The network of a real host: TCP to IP addresses, HTTP based on fastify and undici (design 2.2). */
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
