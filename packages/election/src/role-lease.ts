/** A singleton role while it is held: its renewal, its release, and the calls made under its fencing token (design 7.6). */
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
import { recordOf, registerMilliseconds } from './role-record.js';

export type RoleLease = Readonly<{
  /** Rises with each new holder: whoever is called refuses a lower one than it has seen. */
  fencingToken: number;
  /**
   * Makes one call under this token. It leaves only while the term has room for its way; the role is renewed while the call is under way,
   * and should the term run out all the same, the call is withdrawn. Errors: `superseded` when there is no room, and those of the connection.
   */
  call: (address: Address, request: OutgoingHttpRequest, milliseconds: number) => Promise<Either.Either<Fault, HttpReply>>;
  /** Resolves to true when the role is still held. */
  renew: () => Promise<boolean>;
  /** Withdraws every call under way and lets the next holder take the role at once. */
  release: () => Promise<void>;
}>;

/** What all leases of one role in this process share. */
export type RoleContext = {
  readonly runtime: Runtime;
  readonly register: Register;
  readonly key: string;
  readonly name: string;
  readonly holder: string;
  /** The token and the moment of the last call that this process made or had answered. */
  lastAct: Option.Option<Readonly<{ fencingToken: number; at: Instant }>>;
};

type LeaseState = {
  readonly context: RoleContext;
  readonly fencingToken: number;
  readonly connections: Set<HttpConnection>;
  until: Instant;
  renewing: Promise<boolean> | undefined;
  released: boolean;
};

const renewMilliseconds = 500;
/** What a call may take to reach whom it is for. */
const transitMilliseconds = 400;

function remaining(lease: LeaseState): number {
  return lease.until - lease.context.runtime.clock.now();
}

async function writeRenewal(lease: LeaseState, isLast: boolean): Promise<boolean> {
  const { runtime, register, key, holder } = lease.context;
  const sentAt = runtime.clock.now();
  const changed = await register.change(
    key,
    function renewed(entry) {
      const record = recordOf(entry);
      const isHeld =
        Option.isSome(record) && record.value.holder === holder && record.value.turn === lease.fencingToken && !record.value.released;
      return isHeld ? Option.some({ ...record.value, renewals: record.value.renewals + 1, released: isLast }) : Option.none;
    },
    registerMilliseconds,
  );
  const isRenewed = Either.isRight(changed) && changed.right.wrote;
  if (isRenewed && !lease.released) lease.until = identifiers.after(sentAt, leaseTermMilliseconds);
  return isRenewed;
}

/** Callers that arrive while a renewal is under way share it. */
function renew(lease: LeaseState): Promise<boolean> {
  lease.renewing ??= writeRenewal(lease, false).finally(() => {
    lease.renewing = undefined;
  });
  return lease.renewing;
}

function noRoom({ context, fencingToken }: LeaseState): Fault {
  return fault.create({
    kind: 'superseded',
    message: `the term of ${context.name} under turn ${fencingToken} has no room for a call`,
    remedy: 'who holds the duty next makes it',
  });
}

/** Closes a connection once the term has run out, for as long as its call is under way. */
function closeAtExpiry(lease: LeaseState, connection: HttpConnection, isUnderWay: () => boolean): void {
  if (!isUnderWay()) return;
  const left = remaining(lease);
  if (left <= 0) connection.close();
  else lease.context.runtime.clock.startTimer(left, () => closeAtExpiry(lease, connection, isUnderWay));
}

async function renewWhile(lease: LeaseState, isUnderWay: () => boolean): Promise<void> {
  const { clock } = lease.context.runtime;
  await clock.sleep(renewMilliseconds);
  while (isUnderWay()) {
    await renew(lease);
    await clock.sleep(renewMilliseconds);
  }
}

function recordAct({ context, fencingToken }: LeaseState): void {
  context.lastAct = Option.some({ fencingToken, at: context.runtime.clock.now() });
}

async function call(
  lease: LeaseState,
  address: Address,
  request: OutgoingHttpRequest,
  milliseconds: number,
): Promise<Either.Either<Fault, HttpReply>> {
  if (remaining(lease) < leaseTermMilliseconds / 2) await renew(lease);
  if (remaining(lease) < transitMilliseconds) return Either.left(noRoom(lease));
  const connection = lease.context.runtime.network.connect(address);
  lease.connections.add(connection);
  let underWay = true;
  function isUnderWay(): boolean {
    return underWay;
  }
  closeAtExpiry(lease, connection, isUnderWay);
  void renewWhile(lease, isUnderWay);
  recordAct(lease);
  const reply = await connection.exchange({ ...request, leaveBefore: lease.until }, milliseconds);
  recordAct(lease);
  underWay = false;
  lease.connections.delete(connection);
  connection.close();
  return reply;
}

async function release(lease: LeaseState): Promise<void> {
  lease.released = true;
  lease.until = lease.context.runtime.clock.now();
  // The next holder may act as soon as the release is chosen, so nothing of this one may still arrive.
  for (const connection of lease.connections) connection.close();
  await writeRenewal(lease, true);
}

/** @param acquiredAt - when the request that took the role was sent; the term runs from then */
function create(context: RoleContext, fencingToken: number, acquiredAt: Instant): RoleLease {
  const lease: LeaseState = {
    context,
    fencingToken,
    connections: new Set(),
    until: identifiers.after(acquiredAt, leaseTermMilliseconds),
    renewing: undefined,
    released: false,
  };
  return {
    fencingToken,
    call: (address, request, milliseconds) => call(lease, address, request, milliseconds),
    renew: () => renew(lease),
    release: () => release(lease),
  };
}

/** @internal */
export const roleLeases = { create } as const;
