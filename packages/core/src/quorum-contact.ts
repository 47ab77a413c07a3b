/** A core confirms and hands out only what a majority could contradict: contact with one is part of every answer (design 7.14). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, http, identifiers, type Fault, type HttpRoute, type HttpReply, type Instant, type Runtime } from '@stallstall/kernel';

export type QuorumContact = Readonly<{
  /** Called once this core answers ballots: it has met a majority on the way there. */
  markOpened: () => void;
  /** Whether a majority of cores, this one included, answered what it was sent within the last moment. */
  isInContact: () => boolean;
  /** Does the work while contact lasts; without contact, or once it is lost, the caller is told so at once. */
  runInContact: <Result>(work: () => Promise<Either.Either<Fault, Result>>) => Promise<Either.Either<Fault, Result>>;
  /** The same for a page: only those that need no majority are let through. */
  guardRoute: (mapping: HttpRoute) => HttpRoute;
}>;

/**
 * Beats and watch calls leave each 200 ms, so several must have failed. An operator and a member that hear nothing for a second turn to
 * another core: the answer comes before that.
 */
const contactMilliseconds = 900;
const lookMilliseconds = 50;
const retryAfterSeconds = 1;

/** Pages that tell what this core itself sees, or only check what they are given. */
const ownPages: ReadonlySet<string> = new Set([
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
    message: 'no majority of cores answers this one; nothing was begun',
    remedy: 'turn to another core',
    retryAfterSeconds,
  });
}

function contactLost(): Fault {
  return fault.create({
    kind: 'no-majority',
    message: 'the majority of cores fell silent meanwhile; what was asked may have been done or not',
    remedy: 'send it again unchanged, to another core',
    retryAfterSeconds,
  });
}

/** `answeredAt`: the latest moment after which a majority was asked and has answered. */
function create(runtime: Runtime, answeredAt: () => Instant): QuorumContact {
  let openedAt = identifiers.instant(Number.NEGATIVE_INFINITY);

  function inTouch(): boolean {
    return runtime.clock.now() - Math.max(openedAt, answeredAt()) < contactMilliseconds;
  }

  function during<Result>(work: () => Promise<Either.Either<Fault, Result>>): Promise<Either.Either<Fault, Result>> {
    if (!inTouch()) return Promise.resolve(Either.left(noContact()));
    return new Promise((resolve, reject) => {
      let settled = false;
      function settle(result: Either.Either<Fault, Result>): void {
        settled = true;
        resolve(result);
      }
      function look(): void {
        if (settled) return;
        if (inTouch()) runtime.clock.startTimer(lookMilliseconds, look);
        else settle(Either.left(contactLost()));
      }
      runtime.clock.startTimer(lookMilliseconds, look);
      work().then(settle, reject);
    });
  }

  function guard(mapping: HttpRoute): HttpRoute {
    if (ownPages.has(`${mapping.method} ${mapping.path}`)) return mapping;
    return {
      ...mapping,
      handle: async function guardedPage(request): Promise<HttpReply> {
        const replied = await during(async () => Either.right(await mapping.handle(request)));
        return Either.isLeft(replied) ? http.rejected(replied.left) : replied.right;
      },
    };
  }

  return {
    markOpened: function opened() {
      openedAt = runtime.clock.now();
    },
    isInContact: inTouch,
    runInContact: during,
    guardRoute: guard,
  };
}

export const quorumContact = { create } as const;
