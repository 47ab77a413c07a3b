/** STATE of members over one held line each (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault, type Kernel } from '@stallstall/kernel';
import type { Dialect, MemberStanding } from './dialect.js';
import { lines, type MemberLine } from './line.js';

export type Prober = Readonly<{
  /** Keeps a line open without asking anything: that it breaks, and that another is notListening, tells of the member's end at once. */
  hold: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, null>>;
  ask: (service: string, member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberStanding>>;
}>;

type Held = Readonly<{ address: string; line: MemberLine }>;

function create(kernel: Kernel, dialect: Dialect, tenant: string): Prober {
  const held = new Map<string, Held>();
  /** Whoever asks while a line is being opened shares it: a second one would be held by nobody. */
  const opening = new Map<string, Readonly<{ address: string; line: Promise<Either.Either<Fault, MemberLine>> }>>();

  async function lineTo(service: string, member: string, address: string, milliseconds: number): Promise<Either.Either<Fault, MemberLine>> {
    const known = held.get(member);
    if (known !== undefined && known.address === address && !known.line.closed()) return Either.right(known.line);
    known?.line.close();
    held.delete(member);
    if (address === '')
      return Either.left(
        fault.create({ kind: 'unreachable', message: `no beat has told where ${member} is`, remedy: 'wait for its beat' }),
      );
    const current = opening.get(member);
    if (current !== undefined && current.address === address) return current.line;
    const line = openLine(service, member, address, milliseconds);
    opening.set(member, { address, line });
    return line;
  }

  async function openLine(
    service: string,
    member: string,
    address: string,
    milliseconds: number,
  ): Promise<Either.Either<Fault, MemberLine>> {
    const opened = await lines.open(kernel, dialect, { service, member, address }, tenant, milliseconds);
    const wanted = opening.get(member)?.address === address;
    if (wanted) opening.delete(member);
    if (Either.isLeft(opened)) return opened;
    if (!wanted) {
      opened.right.close();
      return Either.left(fault.create({ kind: 'unreachable', message: `${member} has moved meanwhile`, remedy: 'ask again' }));
    }
    held.set(member, { address, line: opened.right });
    return opened;
  }

  async function ask(
    service: string,
    member: string,
    address: string,
    milliseconds: number,
  ): Promise<Either.Either<Fault, MemberStanding>> {
    const line = await lineTo(service, member, address, milliseconds);
    if (Either.isLeft(line)) return line;
    const ran = await line.right.run([dialect.query(dialect.ownIdentifier, dialect.texts.state)], milliseconds);
    const reply = ran.replies[0];
    if (!ran.whole || reply === undefined) {
      line.right.reset();
      return Either.left(
        fault.create({ kind: 'reply-lost', message: `the STATE of ${member} was lost`, remedy: 'see whether it runs and can be reached' }),
      );
    }
    const standing = reply.ending.kind === 'done' ? dialect.standing(reply.rows) : Option.none;
    if (Option.isSome(standing)) return Either.right(standing.value);
    return Either.left(
      fault.create({
        kind: 'overloaded',
        message: `${member} gave no STATE: ${reply.ending.kind === 'fault' ? reply.ending.condition : 'nothing that can be read'}`,
        remedy: 'ask again shortly',
        retryAfterSeconds: 1,
      }),
    );
  }

  async function hold(service: string, member: string, address: string, milliseconds: number): Promise<Either.Either<Fault, null>> {
    const line = await lineTo(service, member, address, milliseconds);
    return Either.isLeft(line) ? line : Either.right(null);
  }

  return { ask, hold };
}

export const prober = { create } as const;
