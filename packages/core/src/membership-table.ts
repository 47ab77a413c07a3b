/**
 * The membership table of a fleet that operators manage. Changes are made one at a time, each only after a majority of nodes has applied
 * the previous one (design 4.2).
 */
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

/** Computes the new table; returns its argument if nothing changes. */
export type MembershipChange = (table: Membership) => Membership;

export type MembershipTable = Readonly<{
  /** Applies a change and returns the resulting table. Errors: `no-majority`, `version-conflict`, and those of the register. */
  change: (next: MembershipChange) => Promise<Either.Either<Fault, Membership>>;
  /** Handles the request of a node to be added to the table. */
  join: (request: Request<'join'>) => Promise<Reply<'join'>>;
}>;

type ReportedEpochs = ReturnType<Node['reportedEpochs']>[number];

const maxReasonLength = 300;

function notAppliedByMajority(applied: number, nodes: number, version: number): Fault {
  return fault.create({
    kind: 'no-majority',
    message: `only ${applied} of ${nodes} nodes have applied membership version ${version}`,
    remedy: 'retry after a majority of nodes has applied it',
    retryAfterSeconds: 1,
  });
}

function changedConcurrently(): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: 'the membership table was changed concurrently',
    remedy: 'retry the request',
    retryAfterSeconds: 1,
  });
}

/** The highest epoch of each service in the table or among the epochs that these nodes reported. */
function highestEpochs(table: Membership, reported: readonly ReportedEpochs[]): Record<string, number> {
  const highest: Record<string, number> = { ...table.epochs };
  for (const node of reported) {
    for (const [service, epoch] of Object.entries(node.epochs)) highest[service] = Math.max(epoch, highest[service] ?? 0);
  }
  return highest;
}

function create(parts: MembershipTableParts): MembershipTable {
  const { node, register } = parts;
  const commands = owner.create('membership', null);

  function nodesThatApplied(table: Membership, version: number): readonly ReportedEpochs[] {
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
    const updated = next(table);
    if (updated === table) return Either.right(table);
    const applied = nodesThatApplied(table, version);
    if (version > 0 && applied.length < quorum.majority(table.seats.length)) {
      return Either.left(notAppliedByMajority(applied.length, table.seats.length, version));
    }
    const changed: Membership = { ...updated, epochs: highestEpochs(table, applied) };
    const written = await register.change('membership', function replaceIfUnchanged(current) {
      return (Option.isSome(current) ? current.value.version : 0) === version ? Option.some(changed) : Option.none;
    });
    if (Either.isLeft(written)) return written;
    return written.right.wrote ? Either.right(changed) : Either.left(changedConcurrently());
  }

  function change(next: MembershipChange): Promise<Either.Either<Fault, Membership>> {
    return commands.run(() => apply(next));
  }

  async function join(request: Request<'join'>): Promise<Reply<'join'>> {
    if (!parts.ready()) return { joined: false, reason: 'this core does not answer ballots yet' };
    // A node that is already listed with the same data has just not read the table yet, so nothing changes. A draining node keeps draining.
    const changed = await change(function list(table) {
      const listed = quorum.findNode(table, request.seat.node);
      if (listed === undefined) return quorum.putNode(table, request.seat);
      const isSame =
        listed.address === request.seat.address && listed.outward === request.seat.outward && listed.area === request.seat.area;
      return isSame ? table : quorum.putNode(table, { ...request.seat, draining: listed.draining });
    });
    if (Either.isRight(changed)) return { joined: true, reason: '' };
    return { joined: false, reason: changed.left.message.slice(0, maxReasonLength) };
  }

  return { change, join };
}

export const membershipTable = { create } as const;
