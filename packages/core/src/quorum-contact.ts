/**
 * Rejects requests while this core has no contact with a majority of cores: its state may then be outdated, so that it must neither
 * confirm nor return anything (design 7.14).
 */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, http, identifiers, type Fault, type HttpRoute, type HttpReply, type Instant, type Runtime } from '@stallstall/kernel';

export type QuorumContact = Readonly<{
  /** Called when this core starts to serve ballots, which it does only after contact with a majority. */
  markOpened: () => void;
  /** Whether a majority of cores, this one included, has answered a request sent within the last `contactMilliseconds`. */
  isInContact: () => boolean;
  /** Runs the work; resolves to a `no-majority` fault at once if there is no contact or as soon as it is lost. */
  runInContact: <Result>(work: () => Promise<Either.Either<Fault, Result>>) => Promise<Either.Either<Fault, Result>>;
  /** Does the same for the requests of a route; routes that need no majority are returned unchanged. */
  guardRoute: (route: HttpRoute) => HttpRoute;
}>;

/**
 * Heartbeats and watch calls are sent every 200 ms, so several must have failed. Operators and members try another core after one second
 * without a reply, so the rejection must arrive before that.
 */
const contactMilliseconds = 900;
const checkMilliseconds = 50;
const retryAfterSeconds = 1;

/** Routes that only report this core's own view or only validate their input. */
const unguardedRoutes: ReadonlySet<string> = new Set([
  'GET /ready',
  'GET /v1/liveness',
  'GET /v1/metrics',
  'GET /v1/fleet',
  'GET /v1/members',
  'POST /v1/sheet/check',
]);

function noContact(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'this core has no contact with a majority of cores; the request was not started',
    remedy: 'send the request to another core',
    retryAfterSeconds,
  });
}

function contactLost(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'this core lost contact with the majority of cores during the request; the request may or may not have taken effect',
    remedy: 'send the same request again, unchanged, to another core',
    retryAfterSeconds,
  });
}

/** @param majorityAnsweredAt - the latest moment such that a majority has answered a request sent after it */
function create(runtime: Runtime, majorityAnsweredAt: () => Instant): QuorumContact {
  let openedAt = identifiers.instant(Number.NEGATIVE_INFINITY);

  function isInContact(): boolean {
    return runtime.clock.now() - Math.max(openedAt, majorityAnsweredAt()) < contactMilliseconds;
  }

  function runInContact<Result>(work: () => Promise<Either.Either<Fault, Result>>): Promise<Either.Either<Fault, Result>> {
    if (!isInContact()) return Promise.resolve(Either.left(noContact()));
    return new Promise((resolve, reject) => {
      let isSettled = false;
      function settle(result: Either.Either<Fault, Result>): void {
        isSettled = true;
        resolve(result);
      }
      function checkContact(): void {
        if (isSettled) return;
        if (isInContact()) runtime.clock.startTimer(checkMilliseconds, checkContact);
        else settle(Either.left(contactLost()));
      }
      runtime.clock.startTimer(checkMilliseconds, checkContact);
      work().then(settle, reject);
    });
  }

  function guardRoute(route: HttpRoute): HttpRoute {
    if (unguardedRoutes.has(`${route.method} ${route.path}`)) return route;
    return {
      ...route,
      handle: async function handleInContact(request): Promise<HttpReply> {
        const replied = await runInContact(async () => Either.right(await route.handle(request)));
        return Either.isLeft(replied) ? http.faultReply(replied.left) : replied.right;
      },
    };
  }

  return {
    markOpened: function markOpened() {
      openedAt = runtime.clock.now();
    },
    isInContact,
    runInContact,
    guardRoute,
  };
}

export const quorumContact = { create } as const;
