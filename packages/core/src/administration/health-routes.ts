/** Routes for the state of this core: readiness, health, metrics and usage. All but usage need no key (design 9.5). */
import * as Either from 'fp-ts/lib/Either.js';
import { http, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import type { AdministrationContext } from './administration-context.js';
import { authorized } from './authorization.js';
import { fleetView } from './fleet-view.js';
import { healthChecks } from './health-checks.js';
import { pageOf } from './pagination.js';

async function readiness({ parts, node }: AdministrationContext): Promise<HttpReply> {
  const ready = parts.ready();
  return { status: ready ? 200 : 503, body: { node: node.settings.node, ready } };
}

/** Replies with status 503 if a check fails. */
async function health(context: AdministrationContext): Promise<HttpReply> {
  const checks = await healthChecks.run(context);
  const isHealthy = checks.every((check) => check.sound);
  return { status: isHealthy ? 200 : 503, body: { core: context.node.settings.node, checks } };
}

async function metrics(context: AdministrationContext): Promise<HttpReply> {
  const { parts, node } = context;
  return {
    status: 200,
    body: {
      ...parts.metrics(),
      nodes: node.reportedEpochs().length,
      configuration: parts.versionOf('configuration'),
      membership: node.membership().version,
      electionsWaiting: fleetView.waitingElections(context).length,
    },
  };
}

async function usage({ parts }: AdministrationContext, request: HttpRequest): Promise<HttpReply> {
  const windows = await parts.usage.windows();
  return http.toReply(Either.map((rows: readonly unknown[]) => pageOf(rows, request))(windows));
}

function create(context: AdministrationContext): readonly HttpRoute[] {
  return [
    { method: 'GET', path: '/ready', handle: () => readiness(context) },
    { method: 'GET', path: '/v1/liveness', handle: () => health(context) },
    { method: 'GET', path: '/v1/metrics', handle: () => metrics(context) },
    { method: 'GET', path: '/v1/usage', handle: authorized(context.operators, 'read', (request) => usage(context, request)) },
  ];
}

/** @internal */
export const healthRoutes = { create } as const;
