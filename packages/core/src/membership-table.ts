/** The membership table where an operator runs the fleet: one change at a time, each applied by a majority before the next (design 4.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, owner, type Fault } from '@stallstall/kernel';
import { MembershipSchema, message, type Request, type Membership, type Reply } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import { quorum } from '@stallstall/quorum';
import type { CoreSetRegister } from '@stallstall/register';

export type MembershipTableParts = Readonly<{
  node: Pick<Node, 'reportedEpochs'>;
  register: Pick<CoreSetRegister, 'read' | 'change'>;
  ready: () => boolean;
}>;

/** Returns its argument when nothing is to be changed. */
export type MembershipChange = (table: Membership) => Membership;

export type MembershipTable = Readonly<{
  /** Applies a change and returns the table that stands then. Errors: `no-majority`, `version-conflict`, and those of the register. */
  change: (next: MembershipChange) => Promise<Either.Either<Fault, Membership>>;
  /** A node asks to be listed. */
  join: (ask: Request<'join'>) => Promise<Reply<'join'>>;
}>;

type ReportedEpochs = ReturnType<Node['reportedEpochs']>[number];

const reasonCharactersMost = 300;

function noMajorityApplies(applying: number, nodes: number, version: number): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `only ${applying} of ${nodes} nodes obey membership ${version} so far`,
    remedy: 'wait until a majority does, then try again',
    retryAfterSeconds: 1,
  });
}

function changedMeanwhile(): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: 'the membership table changed meanwhile',
    remedy: 'try again',
    retryAfterSeconds: 1,
  });
}

/** The highest epochs that the table or any of these nodes stands at. */
function barrierOf(table: Membership, applying: readonly ReportedEpochs[]): Record<string, number> {
  const barrier: Record<string, number> = { ...table.epochs };
  for (const node of applying) {
    for (const [service, epoch] of Object.entries(node.epochs)) barrier[service] = Math.max(epoch, barrier[service] ?? 0);
  }
  return barrier;
}

function create(parts: MembershipTableParts): MembershipTable {
  const { node, register } = parts;
  const commands = owner.create('membership', null);

  function applyingNodes(table: Membership, version: number): readonly ReportedEpochs[] {
    return node
      .reportedEpochs()
      .filter((reported) => reported.membership === version && (version === 0 || quorum.findNode(table, reported.node) !== undefined));
  }

  async function apply(next: MembershipChange): Promise<Either.Either<Fault, Membership>> {
    const read = await register.read('membership');
    if (Either.isLeft(read)) return read;
    const version = Option.isSome(read.right) ? read.right.value.version : 0;
    const table =
      Option.isSome(read.right) && message.matches(MembershipSchema, read.right.value.value)
        ? read.right.value.value
        : quorum.emptyMembership;
    const wanted = next(table);
    if (wanted === table) return Either.right(table);
    const applying = applyingNodes(table, version);
    if (version > 0 && applying.length < quorum.majority(table.seats.length)) {
      return Either.left(noMajorityApplies(applying.length, table.seats.length, version));
    }
    const changed: Membership = { ...wanted, epochs: barrierOf(table, applying) };
    const written = await register.change('membership', function put(current) {
      return (Option.isSome(current) ? current.value.version : 0) === version ? Option.some(changed) : Option.none;
    });
    if (Either.isLeft(written)) return written;
    return written.right.wrote ? Either.right(changed) : Either.left(changedMeanwhile());
  }

  function change(next: MembershipChange): Promise<Either.Either<Fault, Membership>> {
    return commands.run(() => apply(next));
  }

  async function join(ask: Request<'join'>): Promise<Reply<'join'>> {
    if (!parts.ready()) return { joined: false, reason: 'this core is not open yet' };
    // A node that is listed as it is has only not read the table yet: no step, and what an operator drained stays drained.
    const done = await change(function list(table) {
      const listed = quorum.findNode(table, ask.seat.node);
      if (listed === undefined) return quorum.putNode(table, ask.seat);
      const isSame = listed.address === ask.seat.address && listed.outward === ask.seat.outward && listed.area === ask.seat.area;
      return isSame ? table : quorum.putNode(table, { ...ask.seat, draining: listed.draining });
    });
    if (Either.isRight(done)) return { joined: true, reason: '' };
    return { joined: false, reason: done.left.message.slice(0, reasonCharactersMost) };
  }

  return { change, join };
}

export const membershipTable = { create } as const;
