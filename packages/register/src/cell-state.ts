/** What a disk holds of one key of the register: the ballot it promised and the entry it accepted (design 5.1). */
import { BallotSchema, ballotZero, EntrySchema, message, type Ballot, type Entry } from '@stallstall/message';

export type CellState = Readonly<{ promised: Ballot; accepted: Entry | null }>;

/** The state of a key that was never written. */
export const emptyCell: CellState = { promised: ballotZero, accepted: null };

/** Whether a stored value can be read as a cell. */
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

/** The higher promise and the later entry of both. */
export function mergeStates(left: CellState, right: CellState): CellState {
  const promised = message.compareBallots(left.promised, right.promised) >= 0 ? left.promised : right.promised;
  return { promised, accepted: laterEntry(left.accepted, right.accepted) };
}

/** Whether both are the same on a disk: an entry is known by its ballot. */
export function isSameState(left: CellState, right: CellState): boolean {
  return (
    message.compareBallots(left.promised, right.promised) === 0 &&
    message.compareBallots(left.accepted?.ballot ?? ballotZero, right.accepted?.ballot ?? ballotZero) === 0
  );
}
