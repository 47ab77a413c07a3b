/** Typed faults whose messages name the remedy (design 2.4). */
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

/** The outward shape of a fault; every boundary uses this one. */
function body(error: Fault): Readonly<Record<string, unknown>> {
  const known = details(error);
  return {
    error: known.kind,
    message: error.message,
    remedy: known.remedy,
    ...(known.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: known.retryAfterSeconds }),
    ...(known.details === undefined ? {} : { details: known.details }),
  };
}

function headers(error: Fault): Readonly<Record<string, string>> {
  const wait = details(error).retryAfterSeconds;
  return wait === undefined ? {} : { 'retry-after': String(wait) };
}

function diskFailed(key: string, cause: Error): Fault {
  return create({
    kind: 'disk-failed',
    message: `${key} could not be synced to the data folder`,
    remedy: 'see that the disk has room and works',
    cause,
  });
}

/** A sync that takes too long: nobody knows whether it will ever end. */
function diskStalled(milliseconds: number): Fault {
  return create({
    kind: 'disk-failed',
    message: `the data folder has not synced for ${milliseconds} ms`,
    remedy: 'see that the disk works',
  });
}

/** What is stored cannot be read: as good as lost. */
function diskDamaged(what: string, cause?: Error): Fault {
  return create({
    kind: 'disk-damaged',
    message: `${what} cannot be read`,
    remedy: 'nothing to be done if most cores run: this core starts with an empty store and copies the others',
    ...(cause === undefined ? {} : { cause }),
  });
}

export const fault = { create, diskFailed, diskStalled, diskDamaged, kind, details, status, body, headers } as const;
