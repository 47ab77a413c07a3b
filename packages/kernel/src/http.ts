/** What every HTTP boundary shares: matching a mapping, answering a fault (design 9.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from './fault.js';
import type { OutgoingHttpRequest, HttpReply, HttpRequest, HttpRoute, Runtime } from './runtime.js';
import type { Address } from './identifiers.js';

/** What no URI may hold matches nothing. */
function decoded(segment: string): Option.Option<string> {
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
    const given = actual[index] ?? '';
    if (segment.startsWith(':')) {
      const parameter = decoded(given);
      if (Option.isNone(parameter)) return Option.none;
      parameters[segment.slice(1)] = parameter.value;
    } else if (segment !== given) return Option.none;
  }
  return Option.some(parameters);
}

function faultReply(error: Fault): HttpReply {
  return { status: fault.status(error), headers: fault.headers(error), body: fault.body(error) };
}

function toReply(result: Either.Either<Fault, unknown>, status = 200): HttpReply {
  return Either.isLeft(result) ? faultReply(result.left) : { status, body: result.right };
}

/** Finds the mapping and runs it; a thrown error becomes an honest 500, never the end of the process. */
async function dispatch(mappings: readonly HttpRoute[], request: HttpRequest): Promise<HttpReply> {
  for (const candidate of mappings) {
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
          remedy: 'report it with the log line of the same moment',
        }),
      );
    }
  }
  return faultReply(
    fault.create({
      kind: 'not-found',
      message: `there is no ${request.method} ${request.path}`,
      remedy: 'see the list of pages in docs/operations.md',
    }),
  );
}

/** The same routes, and how many of their requests are without an answer. */
function countInFlight(routes: readonly HttpRoute[]): Readonly<{ routes: readonly HttpRoute[]; inFlight: () => number }> {
  let count = 0;
  return {
    inFlight: () => count,
    routes: routes.map((one) => ({
      ...one,
      handle: async function handle(request) {
        count += 1;
        try {
          return await one.handle(request);
        } finally {
          count -= 1;
        }
      },
    })),
  };
}

/** One exchange on a connection of its own. */
async function exchangeOnce(
  runtime: Runtime,
  address: Address,
  ask: OutgoingHttpRequest,
  milliseconds: number,
): Promise<Either.Either<Fault, HttpReply>> {
  const connection = runtime.network.connect(address);
  const reply = await connection.exchange(ask, milliseconds);
  connection.close();
  return reply;
}

export const http = { matchPath, faultReply, toReply, dispatch, countInFlight, exchangeOnce } as const;
