/** Reads the STATE of members that implement this product's own HTTP API, over one connection to each (design 7.1). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, identifiers, type Fault, type HttpConnection, type Runtime } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { MemberStateSchema, type MemberState } from './member-state.js';

export type HttpStateProbes = Readonly<{
  /** Errors: `unreachable` when the reply is invalid or comes from another member, and the errors of the connection. */
  readState: (member: string, address: string, timeoutMilliseconds: number) => Promise<Either.Either<Fault, MemberState>>;
  /** Closes the connections to all members but these. */
  closeExcept: (members: ReadonlySet<string>) => void;
}>;

type MemberConnection = Readonly<{ address: string; connection: HttpConnection }>;

function invalidState(member: string, address: string): Fault {
  return fault.create({
    kind: 'unreachable',
    message: `${member} at ${address} did not reply with a valid STATE`,
    remedy: "check the member's address in the placement configuration",
  });
}

function create(runtime: Runtime): HttpStateProbes {
  const connections = new Map<string, MemberConnection>();

  function connectionTo(member: string, address: string): HttpConnection {
    const current = connections.get(member);
    if (current !== undefined && current.address === address && !current.connection.closed()) return current.connection;
    current?.connection.close();
    const connection = runtime.network.connect(identifiers.address(address));
    connections.set(member, { address, connection });
    return connection;
  }

  async function readState(member: string, address: string, timeoutMilliseconds: number): Promise<Either.Either<Fault, MemberState>> {
    const reply = await connectionTo(member, address).exchange({ method: 'GET', path: '/state' }, timeoutMilliseconds);
    if (Either.isLeft(reply)) return reply;
    const { body } = reply.right;
    const isValid = message.matches(MemberStateSchema, body) && body.member === member;
    return isValid ? Either.right(body) : Either.left(invalidState(member, address));
  }

  function closeExcept(members: ReadonlySet<string>): void {
    for (const [member, current] of connections) {
      if (members.has(member)) continue;
      current.connection.close();
      connections.delete(member);
    }
  }

  return { readState, closeExcept };
}

/** @internal */
export const httpStateProbes = { create } as const;
