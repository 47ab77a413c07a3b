/** The faults returned to clients, each with a remedy. */
import { fault, type Fault } from '@stallstall/kernel';

const retryAfterSeconds = 1;

/** A write was sent and may have been applied. */
function outcomeUnknown(message: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message,
    remedy: 'read the data to check whether the write was applied before retrying',
    retryAfterSeconds,
  });
}

/** Nothing was applied; the client may retry the request. */
function givenUp(message: string, remedy = 'retry later'): Fault {
  return fault.create({ kind: 'given-up', message, remedy, retryAfterSeconds });
}

/** The transaction was rolled back. */
function transactionEnded(message: string): Fault {
  return fault.create({
    kind: 'transaction-ended',
    message,
    remedy: 'retry the transaction from its first statement',
    retryAfterSeconds,
  });
}

/** The edge may be partitioned from the cores, so its configuration may have been replaced and must not be used. */
function staleConfiguration(remedy = 'retry at another edge, or retry shortly'): Fault {
  return fault.create({
    kind: 'stale-configuration',
    message: 'this edge has had no contact with a majority of cores within its control term',
    remedy,
    retryAfterSeconds,
  });
}

function fenced(service: string): Fault {
  return fault.create({
    kind: 'read-only',
    message: `READONLY: this edge is fenced for ${service}`,
    remedy: 'retry at another edge, or once this edge reaches a majority of cores again',
    retryAfterSeconds,
  });
}

function draining(): Fault {
  return fault.create({
    kind: 'draining',
    message: 'this edge is draining',
    remedy: 'send the request to another edge',
    retryAfterSeconds,
  });
}

function overloaded(service: string, waiting: number): Fault {
  return fault.create({
    kind: 'overloaded',
    message: `${waiting} requests for ${service} are already waiting at this edge`,
    remedy: 'retry later',
    retryAfterSeconds,
  });
}

/** @param action - what the key may not do, such as `send write to bookings` */
function keyRejected(action: string): Fault {
  return fault.create({
    kind: 'key-denied',
    message: `this key may not ${action}`,
    remedy: 'ask the operators for a key with this permission',
  });
}

/** @param name - what the placement configuration does not contain, such as `service bookings` */
function notFound(name: string): Fault {
  return fault.create({ kind: 'not-found', message: `the placement configuration has no ${name}`, remedy: 'check the name' });
}

function badRequest(message: string, remedy: string): Fault {
  return fault.create({ kind: 'bad-request', message, remedy });
}

function sessionLost(message: string): Fault {
  return fault.create({ kind: 'session-lost', message, remedy: 'open a new session' });
}

/** The member rejected the statement with this HTTP status and message. */
function rejectedByMember(status: number, memberMessage: string): Fault {
  return fault.create({
    kind: status === 503 ? 'read-only' : 'statement-denied',
    message: `the member rejected the statement: ${memberMessage}`,
    remedy: status === 503 ? 'retry shortly' : 'correct the statement',
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
