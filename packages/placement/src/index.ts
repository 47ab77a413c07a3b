/** The operators' placement configuration: services, one row for each service and area, keys and more, validated as a whole (design 6.1). */
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
import type { PlacementFault } from './placement-faults.js';

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
export type { PlacementFault } from './placement-faults.js';

/** The location of a schema issue: row `rows[3]`, column `weights.bookings-2`, for example. */
function locationOf(path: readonly PropertyKey[]): Readonly<{ row: string; column: string }> {
  const row = path.slice(0, 2).map(String);
  return {
    row: row.length === 2 ? `${row[0]}[${row[1]}]` : (row[0] ?? 'sheet'),
    column: path.slice(2).map(String).join('.') || '(entire entry)',
  };
}

function remedyOf(code: string): string {
  if (code === 'unrecognized_keys') return 'remove the column, or correct its spelling';
  if (code === 'invalid_type') return 'use a value of the type in the message';
  return 'use a value within the limits in the message';
}

/** The placement configuration with defaults filled in, or one fault whose details list all of its faults (`PlacementFault`). */
function validate(value: unknown): Either.Either<Fault, PlacementConfiguration> {
  const parsed = placementSchema.safeParse(value);
  const faults: readonly PlacementFault[] = parsed.success
    ? crossChecks.check(parsed.data)
    : parsed.error.issues.map((issue) => ({ ...locationOf(issue.path), message: issue.message, remedy: remedyOf(issue.code) }));
  if (parsed.success && faults.length === 0) return Either.right(parsed.data);
  return Either.left(
    fault.create({
      kind: 'bad-sheet',
      message: `the placement configuration has ${faults.length} fault${faults.length === 1 ? '' : 's'} and was not applied`,
      remedy: 'correct each of them and send the complete configuration again',
      details: faults,
    }),
  );
}

/** Undefined when there is no such service. */
function findService(configuration: PlacementConfiguration, name: string): ServicePlacement | undefined {
  return configuration.services.find((candidate) => candidate.service === name);
}

/** Finds a member by name among all services. */
function findMember(configuration: PlacementConfiguration, name: string): MemberPlacement | undefined {
  for (const candidate of configuration.services) {
    const found = candidate.members.find((member) => member.member === name);
    if (found !== undefined) return found;
  }
  return undefined;
}

/** The row that defines how a service serves an area. */
function findRow(configuration: PlacementConfiguration, serviceName: string, area: string): PlacementRow | undefined {
  return configuration.rows.find((candidate) => candidate.service === serviceName && candidate.area === area);
}

/** The statement that clients execute by this name. */
function findNamedStatement(configuration: PlacementConfiguration, name: string): NamedStatement | undefined {
  return configuration.mappings.find((candidate) => candidate.mapping === name);
}

/** Whether a key may send statements of a kind to a service. */
function isAllowed(configuration: PlacementConfiguration, key: string, serviceName: string, kind: StatementKind): boolean {
  return configuration.keys.some(
    (candidate) => candidate.key === key && candidate.services.includes(serviceName) && candidate.kinds.includes(kind),
  );
}

/** Number of a member's connections that one edge may open; each node reserves one for its health check (design 8.3). */
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
