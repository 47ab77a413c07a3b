/** HTTP helpers shared by every API: route matching and fault replies (design 9.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from './fault.js';
import type { OutgoingHttpRequest, HttpReply, HttpRequest, HttpRoute, Runtime } from './runtime.js';
import type { Address } from './identifiers.js';

/** Decodes a path segment; none if its percent-encoding is invalid, so that it matches no route. */
function decodeSegment(segment: string): Option.Option<string> {
  try {
    return Option.some(decodeURIComponent(segment));
  } catch {
    return Option.none;
  }
}

function matchPath(pattern: string, path: string): Option.Option<Readonly<Record<string, string>>> {
  const expected = pattern.split('/');
  const actual = path.split('/');
  if (expected.length !== actual.length) return Option.none;
  const parameters: Record<string, string> = {};
  for (const [index, segment] of expected.entries()) {
    const actualSegment = actual[index] ?? '';
    if (segment.startsWith(':')) {
      const parameter = decodeSegment(actualSegment);
      if (Option.isNone(parameter)) return Option.none;
      parameters[segment.slice(1)] = parameter.value;
    } else if (segment !== actualSegment) return Option.none;
  }
  return Option.some(parameters);
}

function faultReply(error: Fault): HttpReply {
  return { status: fault.status(error), headers: fault.headers(error), body: fault.body(error) };
}

function toReply(result: Either.Either<Fault, unknown>, status = 200): HttpReply {
  return Either.isLeft(result) ? faultReply(result.left) : { status, body: result.right };
}

/** Runs the handler of the matching route; an error that it throws becomes a 500 reply instead of ending the process. */
async function dispatch(routes: readonly HttpRoute[], request: HttpRequest): Promise<HttpReply> {
  for (const candidate of routes) {
    if (candidate.method !== request.method) continue;
    const parameters = matchPath(candidate.path, request.path);
    if (Option.isNone(parameters)) continue;
    try {
      return await candidate.handle({ ...request, query: { ...request.query, ...parameters.value } });
    } catch (error) {
      return faultReply(
        fault.create({
          kind: 'internal',
          message: `${request.method} ${request.path} failed: ${(error as Error).message}`,
          remedy: 'report this fault together with the log lines of the same time',
        }),
      );
    }
  }
  return faultReply(
    fault.create({
      kind: 'not-found',
      message: `no route matches ${request.method} ${request.path}`,
      remedy: 'see the list of routes in docs/operations.md',
    }),
  );
}

/** Wraps the routes and counts their requests that have not been replied to yet. */
function countInFlight(routes: readonly HttpRoute[]): Readonly<{ routes: readonly HttpRoute[]; inFlight: () => number }> {
  let count = 0;
  return {
    inFlight: () => count,
    routes: routes.map((route) => ({
      ...route,
      handle: async function handle(request) {
        count += 1;
        try {
          return await route.handle(request);
        } finally {
          count -= 1;
        }
      },
    })),
  };
}

/** Sends one request on a connection of its own, and closes the connection. */
async function exchangeOnce(
  runtime: Runtime,
  address: Address,
  request: OutgoingHttpRequest,
  timeoutMilliseconds: number,
): Promise<Either.Either<Fault, HttpReply>> {
  const connection = runtime.network.connect(address);
  const reply = await connection.exchange(request, timeoutMilliseconds);
  connection.close();
  return reply;
}

export const http = { matchPath, faultReply, toReply, dispatch, countInFlight, exchangeOnce } as const;
