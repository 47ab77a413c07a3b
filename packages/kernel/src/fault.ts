/** Typed faults whose messages include a remedy (design 2.4). */
import VError from 'verror';

export type FaultKind =
  | 'bad-request'
  | 'bad-sheet'
  | 'bad-settings'
  | 'too-large'
  | 'not-found'
  | 'key-denied'
  | 'version-conflict'
  | 'version-forgotten'
  | 'read-only'
  | 'no-target'
  | 'stale-configuration'
  | 'draining'
  | 'overloaded'
  | 'given-up'
  | 'outcome-unknown'
  | 'transaction-ended'
  | 'session-lost'
  | 'statement-denied'
  | 'unreachable'
  | 'not-listening'
  | 'reply-lost'
  | 'no-majority'
  | 'superseded'
  | 'departed'
  | 'foreign-disk'
  | 'disk-failed'
  | 'disk-damaged'
  | 'unsafe-step'
  | 'internal';

export type Fault = VError;

export type FaultDetails = Readonly<{
  kind: FaultKind;
  message: string;
  remedy: string;
  retryAfterSeconds?: number;
  cause?: Error;
  details?: unknown;
}>;

const statuses: Readonly<Record<FaultKind, number>> = {
  'bad-request': 400,
  'bad-sheet': 422,
  'bad-settings': 422,
  'too-large': 413,
  'not-found': 404,
  'key-denied': 403,
  'version-conflict': 409,
  'version-forgotten': 410,
  'read-only': 503,
  'no-target': 503,
  'stale-configuration': 503,
  draining: 503,
  overloaded: 503,
  'given-up': 504,
  'outcome-unknown': 502,
  'transaction-ended': 409,
  'session-lost': 404,
  'statement-denied': 409,
  unreachable: 503,
  'not-listening': 503,
  'reply-lost': 502,
  'no-majority': 503,
  superseded: 409,
  departed: 409,
  'foreign-disk': 409,
  'disk-failed': 503,
  'disk-damaged': 503,
  'unsafe-step': 409,
  internal: 500,
};

function create(details: FaultDetails): Fault {
  return new VError(
    { name: details.kind, ...(details.cause === undefined ? {} : { cause: details.cause }), info: details },
    '%s',
    `${details.message}; ${details.remedy}`,
  );
}

function kind(error: Fault): FaultKind {
  return error.name as FaultKind;
}

function details(error: Fault): FaultDetails {
  return VError.info(error) as FaultDetails;
}

function status(error: Fault): number {
  return statuses[kind(error)] ?? 500;
}

/** The JSON body of a fault, used by every HTTP API. */
function body(error: Fault): Readonly<Record<string, unknown>> {
  const faultDetails = details(error);
  return {
    error: faultDetails.kind,
    message: error.message,
    remedy: faultDetails.remedy,
    ...(faultDetails.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: faultDetails.retryAfterSeconds }),
    ...(faultDetails.details === undefined ? {} : { details: faultDetails.details }),
  };
}

function headers(error: Fault): Readonly<Record<string, string>> {
  const retryAfterSeconds = details(error).retryAfterSeconds;
  return retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) };
}

function diskFailed(key: string, cause: Error): Fault {
  return create({
    kind: 'disk-failed',
    message: `${key} could not be synced to the data folder`,
    remedy: 'check that the disk has free space and works',
    cause,
  });
}

/** A sync that takes too long and may never end. */
function diskStalled(milliseconds: number): Fault {
  return create({
    kind: 'disk-failed',
    message: `the data folder has not synced for ${milliseconds} ms`,
    remedy: 'check that the disk works',
  });
}

/** Stored data that cannot be read and is treated as lost. */
function diskDamaged(what: string, cause?: Error): Fault {
  return create({
    kind: 'disk-damaged',
    message: `${what} cannot be read`,
    remedy:
      'nothing needs to be done while a majority of the cores runs: this core starts with an empty store and copies the data from the others',
    ...(cause === undefined ? {} : { cause }),
  });
}

export const fault = { create, diskFailed, diskStalled, diskDamaged, kind, details, status, body, headers } as const;
