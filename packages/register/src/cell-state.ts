/** The persistent state of one register key on one disk: the promised ballot and the accepted entry (design 5.1). */
import { BallotSchema, ballotZero, EntrySchema, message, type Ballot, type Entry } from '@stallstall/message';

export type CellState = Readonly<{ promised: Ballot; accepted: Entry | null }>;

/** The state of a key that was never written. */
export const emptyCell: CellState = { promised: ballotZero, accepted: null };

/** Whether a stored value is a valid cell state. */
export function isCellState(value: unknown): value is CellState {
  const cell = value as Partial<CellState> | null;
  return (
    typeof cell === 'object' &&
    cell !== null &&
    message.matches(BallotSchema, cell.promised) &&
    (cell.accepted === null || message.matches(EntrySchema, cell.accepted))
  );
}

function laterEntry(left: Entry | null, right: Entry | null): Entry | null {
  if (left === null) return right;
  if (right === null) return left;
  return message.compareBallots(left.ballot, right.ballot) >= 0 ? left : right;
}

/** Combines two states: the higher promised ballot, and the entry accepted under the higher ballot. */
export function mergeStates(left: CellState, right: CellState): CellState {
  const promised = message.compareBallots(left.promised, right.promised) >= 0 ? left.promised : right.promised;
  return { promised, accepted: laterEntry(left.accepted, right.accepted) };
}

/** Whether two states are equal. Entries are compared by ballot, because a ballot is used for one entry only. */
export function isSameState(left: CellState, right: CellState): boolean {
  return (
    message.compareBallots(left.promised, right.promised) === 0 &&
    message.compareBallots(left.accepted?.ballot ?? ballotZero, right.accepted?.ballot ?? ballotZero) === 0
  );
}
