/** The faults that clients are told, each with what they can do about it. */
import { fault, type Fault } from '@stallstall/kernel';

const retryAfterSeconds = 1;

/** A write was sent and may have taken effect. */
function outcomeUnknown(message: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message,
    remedy: 'read back whether it took effect before asking again',
    retryAfterSeconds,
  });
}

/** Nothing was kept; the same request may be sent again. */
function givenUp(message: string, remedy = 'try again later'): Fault {
  return fault.create({ kind: 'given-up', message, remedy, retryAfterSeconds });
}

/** Nothing of the transaction was kept. */
function transactionEnded(message: string): Fault {
  return fault.create({
    kind: 'transaction-ended',
    message,
    remedy: 'begin it again from its first statement',
    retryAfterSeconds,
  });
}

/** The edge may be cut off: it does not act on a configuration that may have been replaced. */
function staleConfiguration(remedy = 'try another edge, or again shortly'): Fault {
  return fault.create({
    kind: 'stale-configuration',
    message: 'this edge has not heard from a majority of cores within its term',
    remedy,
    retryAfterSeconds,
  });
}

function fenced(service: string): Fault {
  return fault.create({
    kind: 'read-only',
    message: `READONLY: this edge is fenced for ${service}`,
    remedy: 'try another edge, or again when it sees a majority',
    retryAfterSeconds,
  });
}

function draining(): Fault {
  return fault.create({ kind: 'draining', message: 'this edge is draining', remedy: 'send it to another edge', retryAfterSeconds });
}

function overloaded(service: string, waiting: number): Fault {
  return fault.create({
    kind: 'overloaded',
    message: `${waiting} requests for ${service} wait here already`,
    remedy: 'try again later',
    retryAfterSeconds,
  });
}

/** `what` the key may not do, as in `send write to bookings`. */
function keyRejected(what: string): Fault {
  return fault.create({ kind: 'key-denied', message: `this key may not ${what}`, remedy: 'ask the operators for a key that may' });
}

/** `what` no sheet names, as in `a service bookings`. */
function notFound(what: string): Fault {
  return fault.create({ kind: 'not-found', message: `no sheet names ${what}`, remedy: 'check the name' });
}

function badRequest(message: string, remedy: string): Fault {
  return fault.create({ kind: 'bad-request', message, remedy });
}

function sessionLost(message: string): Fault {
  return fault.create({ kind: 'session-lost', message, remedy: 'open another session' });
}

/** The member rejected the statement; `status` is that of its response, `text` its own words. */
function rejectedByMember(status: number, text: string): Fault {
  return fault.create({
    kind: status === 503 ? 'read-only' : 'statement-denied',
    message: `the member denied it: ${text}`,
    remedy: status === 503 ? 'try again shortly' : 'mend the statement',
    ...(status === 503 ? { retryAfterSeconds } : {}),
  });
}

export const requestFaults = {
  outcomeUnknown,
  givenUp,
  transactionEnded,
  staleConfiguration,
  fenced,
  draining,
  overloaded,
  keyRejected,
  notFound,
  badRequest,
  sessionLost,
  rejectedByMember,
} as const;
