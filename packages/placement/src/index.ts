/** The operators' placement sheet: one row for each service and area, checked whole (design 6.1). */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Fault } from '@stallstall/kernel';
import { crossChecks } from './cross-checks.js';
import { outageWindows } from './outage-windows.js';
import {
  placementSchema,
  type PlacementConfiguration,
  type NamedStatement,
  type MemberPlacement,
  type PlacementRow,
  type ServicePlacement,
  type StatementKind,
} from './schema.js';
import type { PlacementFault } from './sheet-faults.js';

export { statementKinds, weekdays } from './schema.js';
export type {
  OutageWindow,
  PlacementConfiguration,
  DatabasePlacement,
  ClientKey,
  NamedStatement,
  MemberPlacement,
  AnnouncedOutage,
  PlacementRow,
  ServicePlacement,
  Tenant,
  StatementKind,
} from './schema.js';
export type { PlacementFault } from './sheet-faults.js';

/** Where an issue stands, as an operator would point at it: `rows[3] (bookings/north)`, column `weights.bookings-2`. */
function place(path: readonly PropertyKey[]): Readonly<{ row: string; column: string }> {
  const row = path.slice(0, 2).map(String);
  return { row: row.length === 2 ? `${row[0]}[${row[1]}]` : (row[0] ?? 'sheet'), column: path.slice(2).map(String).join('.') || '(whole)' };
}

function remedyOf(code: string): string {
  if (code === 'unrecognized_keys') return 'remove the column, or mend its spelling';
  if (code === 'invalid_type') return 'give a value of the named type';
  return 'give a value within the named bounds';
}

/** The sheet with its defaults filled in, or one fault whose details list everything that is wrong with it (`SheetFault`). */
function validate(value: unknown): Either.Either<Fault, PlacementConfiguration> {
  const parsed = placementSchema.safeParse(value);
  const faults: readonly PlacementFault[] = parsed.success
    ? crossChecks.check(parsed.data)
    : parsed.error.issues.map((issue) => ({ ...place(issue.path), message: issue.message, remedy: remedyOf(issue.code) }));
  if (parsed.success && faults.length === 0) return Either.right(parsed.data);
  return Either.left(
    fault.create({
      kind: 'bad-sheet',
      message: `the sheet has ${faults.length} fault${faults.length === 1 ? '' : 's'} and nothing was changed`,
      remedy: 'mend each of them and send the sheet whole',
      details: faults,
    }),
  );
}

/** Undefined when the sheet names no such service. */
function findService(sheet: PlacementConfiguration, named: string): ServicePlacement | undefined {
  return sheet.services.find((candidate) => candidate.service === named);
}

/** The member of that name, of whichever service. */
function findMember(sheet: PlacementConfiguration, named: string): MemberPlacement | undefined {
  for (const candidate of sheet.services) {
    const found = candidate.members.find((one) => one.member === named);
    if (found !== undefined) return found;
  }
  return undefined;
}

/** How an area is served by a service. */
function findRow(sheet: PlacementConfiguration, named: string, area: string): PlacementRow | undefined {
  return sheet.rows.find((candidate) => candidate.service === named && candidate.area === area);
}

/** The statement that clients call by this name. */
function findNamedStatement(sheet: PlacementConfiguration, named: string): NamedStatement | undefined {
  return sheet.mappings.find((candidate) => candidate.mapping === named);
}

/** Whether a key may send statements of a kind to a service. */
function isAllowed(sheet: PlacementConfiguration, key: string, named: string, kind: StatementKind): boolean {
  return sheet.keys.some((candidate) => candidate.key === key && candidate.services.includes(named) && candidate.kinds.includes(kind));
}

/** How many connections of a member's limit one edge may hold; every node keeps one for its probe (design 8.3). */
function connectionShare(limit: number, nodes: number, edges: number): number {
  return edges === 0 ? 0 : Math.max(0, Math.floor((limit - nodes) / edges));
}

export const placements = {
  validate,
  findService,
  findMember,
  findRow,
  findNamedStatement,
  isAllowed,
  connectionShare,
  outageWindows: outageWindows.windowsBetween,
} as const;
