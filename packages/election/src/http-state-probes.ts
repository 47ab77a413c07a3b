/** STATE of members that speak this product's own HTTP, over one connection to each (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, identifiers, type Fault, type HttpConnection, type Runtime } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { MemberStateSchema, type MemberState } from './member-state.js';

export type HttpStateProbes = Readonly<{
  /** Errors: `unreachable` when the reply cannot be read or is another member's, and those of the connection. */
  readState: (member: string, address: string, milliseconds: number) => Promise<Either.Either<Fault, MemberState>>;
  /** Closes the connections to all other members. */
  closeExcept: (members: ReadonlySet<string>) => void;
}>;

type OpenProbe = Readonly<{ address: string; connection: HttpConnection }>;

function unreadable(member: string, address: string): Fault {
  return fault.create({
    kind: 'unreachable',
    message: `${member} at ${address} gave no STATE that can be read`,
    remedy: 'check that the sheet names the right address',
  });
}

function create(runtime: Runtime): HttpStateProbes {
  const probes = new Map<string, OpenProbe>();

  function connectionTo(member: string, address: string): HttpConnection {
    const open = probes.get(member);
    if (open !== undefined && open.address === address && !open.connection.closed()) return open.connection;
    open?.connection.close();
    const connection = runtime.network.connect(identifiers.address(address));
    probes.set(member, { address, connection });
    return connection;
  }

  async function readState(member: string, address: string, milliseconds: number): Promise<Either.Either<Fault, MemberState>> {
    const reply = await connectionTo(member, address).exchange({ method: 'GET', path: '/state' }, milliseconds);
    if (Either.isLeft(reply)) return reply;
    const { body } = reply.right;
    const isReadable = message.matches(MemberStateSchema, body) && body.member === member;
    return isReadable ? Either.right(body) : Either.left(unreadable(member, address));
  }

  function closeExcept(members: ReadonlySet<string>): void {
    for (const [member, open] of probes) {
      if (members.has(member)) continue;
      open.connection.close();
      probes.delete(member);
    }
  }

  return { readState, closeExcept };
}

/** @internal */
export const httpStateProbes = { create } as const;
