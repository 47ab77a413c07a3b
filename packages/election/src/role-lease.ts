/** A held singleton role: its renewal, its release, and calls made under its fencing token (design 7.6). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  type Address,
  type Fault,
  type HttpConnection,
  type HttpReply,
  type Instant,
  type Runtime,
  type OutgoingHttpRequest,
} from '@stallstall/kernel';
import { leaseTermMilliseconds } from '@stallstall/quorum-lease';
import type { Register } from '@stallstall/register';
import { recordOf, registerTimeoutMilliseconds } from './role-record.js';

export type RoleLease = Readonly<{
  /** Rises with each new holder: the callee rejects a token lower than one it has seen. */
  fencingToken: number;
  /**
   * Makes one call under this token. The request is sent only if enough of the term remains for it to reach the callee. The role is renewed
   * while the call is in progress; if the term expires nevertheless, the call is aborted. Errors: `superseded` when too little of the term
   * remains, and the errors of the connection.
   */
  call: (address: Address, request: OutgoingHttpRequest, timeoutMilliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  /** Extends the term; resolves to false when the role is no longer held or no majority of cores replied. */
  renew: () => Promise<boolean>;
  /** Aborts every call in progress and releases the role, so that another process can acquire it at once. */
  release: () => Promise<void>;
}>;

/** State shared by all leases of one role in this process. */
export type RoleContext = {
  readonly runtime: Runtime;
  readonly register: Register;
  readonly key: string;
  readonly name: string;
  readonly holder: string;
  /** The token of the last call that this process made, and when the call was sent or last received a reply. */
  lastCall: Option.Option<Readonly<{ fencingToken: number; at: Instant }>>;
};

type LeaseState = {
  readonly context: RoleContext;
  readonly fencingToken: number;
  readonly connections: Set<HttpConnection>;
  expiresAt: Instant;
  pendingRenewal: Promise<boolean> | undefined;
  released: boolean;
};

const renewMilliseconds = 500;
/** The minimum remaining term for sending a call: the time that the request may take to reach the callee. */
const transitMilliseconds = 400;

function remaining(lease: LeaseState): number {
  return lease.expiresAt - lease.context.runtime.clock.now();
}

async function writeRenewal(lease: LeaseState, isRelease: boolean): Promise<boolean> {
  const { runtime, register, key, holder } = lease.context;
  const sentAt = runtime.clock.now();
  const changed = await register.change(
    key,
    function renewed(entry) {
      const record = recordOf(entry);
      const isHeld =
        Option.isSome(record) && record.value.holder === holder && record.value.turn === lease.fencingToken && !record.value.released;
      return isHeld ? Option.some({ ...record.value, renewals: record.value.renewals + 1, released: isRelease }) : Option.none;
    },
    registerTimeoutMilliseconds,
  );
  const isRenewed = Either.isRight(changed) && changed.right.wrote;
  if (isRenewed && !lease.released) lease.expiresAt = identifiers.after(sentAt, leaseTermMilliseconds);
  return isRenewed;
}

/** Callers that arrive while a renewal is in progress share its result. */
function renew(lease: LeaseState): Promise<boolean> {
  lease.pendingRenewal ??= writeRenewal(lease, false).finally(() => {
    lease.pendingRenewal = undefined;
  });
  return lease.pendingRenewal;
}

function termTooShort({ context, fencingToken }: LeaseState): Fault {
  return fault.create({
    kind: 'superseded',
    message: `the remaining term of role ${context.name} under fencing token ${fencingToken} is too short for a call`,
    remedy: 'no action is needed: the next holder of the role makes the call',
  });
}

/** Closes a call's connection when the term expires, unless the call has ended by then. */
function closeAtExpiry(lease: LeaseState, connection: HttpConnection, isInProgress: () => boolean): void {
  if (!isInProgress()) return;
  const remainingMilliseconds = remaining(lease);
  if (remainingMilliseconds <= 0) connection.close();
  else lease.context.runtime.clock.startTimer(remainingMilliseconds, () => closeAtExpiry(lease, connection, isInProgress));
}

async function renewWhile(lease: LeaseState, isInProgress: () => boolean): Promise<void> {
  const { clock } = lease.context.runtime;
  await clock.sleep(renewMilliseconds);
  while (isInProgress()) {
    await renew(lease);
    await clock.sleep(renewMilliseconds);
  }
}

function recordCall({ context, fencingToken }: LeaseState): void {
  context.lastCall = Option.some({ fencingToken, at: context.runtime.clock.now() });
}

async function call(
  lease: LeaseState,
  address: Address,
  request: OutgoingHttpRequest,
  timeoutMilliseconds: number,
): Promise<Either.Either<Fault, HttpReply>> {
  if (remaining(lease) < leaseTermMilliseconds / 2) await renew(lease);
  if (remaining(lease) < transitMilliseconds) return Either.left(termTooShort(lease));
  const connection = lease.context.runtime.network.connect(address);
  lease.connections.add(connection);
  let inProgress = true;
  function isInProgress(): boolean {
    return inProgress;
  }
  closeAtExpiry(lease, connection, isInProgress);
  void renewWhile(lease, isInProgress);
  recordCall(lease);
  const reply = await connection.exchange({ ...request, sendBefore: lease.expiresAt }, timeoutMilliseconds);
  recordCall(lease);
  inProgress = false;
  lease.connections.delete(connection);
  connection.close();
  return reply;
}

async function release(lease: LeaseState): Promise<void> {
  lease.released = true;
  lease.expiresAt = lease.context.runtime.clock.now();
  // The next holder may make calls as soon as the register has accepted the release, so no call of this one may arrive after that.
  for (const connection of lease.connections) connection.close();
  await writeRenewal(lease, true);
}

/** @param acquiredAt - when the request that acquired the role was sent; the term starts then */
function create(context: RoleContext, fencingToken: number, acquiredAt: Instant): RoleLease {
  const lease: LeaseState = {
    context,
    fencingToken,
    connections: new Set(),
    expiresAt: identifiers.after(acquiredAt, leaseTermMilliseconds),
    pendingRenewal: undefined,
    released: false,
  };
  return {
    fencingToken,
    call: (address, request, timeoutMilliseconds) => call(lease, address, request, timeoutMilliseconds),
    renew: () => renew(lease),
    release: () => release(lease),
  };
}

/** @internal */
export const roleLeases = { create } as const;
