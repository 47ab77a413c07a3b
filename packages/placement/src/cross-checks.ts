/** Checks of a sheet that its schema cannot express: names that occur twice, and names that nothing stands for. */
import { outageChecks } from './outage-checks.js';
import type { PlacementConfiguration, PlacementRow, ServicePlacement } from './schema.js';
import { sheetFaults, type PlacementFault } from './sheet-faults.js';

const { repetitions, shortened, standsTwice } = sheetFaults;

function repeatedMembers(sheet: PlacementConfiguration): readonly PlacementFault[] {
  const members = sheet.services.flatMap((service) => service.members);
  return [
    ...repetitions(
      members.map((member) => member.member),
      { row: 'services', column: 'members.member' },
      'give every member a name of its own',
    ),
    ...repetitions(
      members.map((member) => member.address),
      { row: 'services', column: 'members.address' },
      'give every member an address of its own',
    ),
  ];
}

function membersFault(service: ServicePlacement, index: number): PlacementFault | undefined {
  const row = `services[${index}]`;
  const { members, registered } = service;
  if (members.length === 0 && !registered)
    return { row, column: 'members', message: `${service.service} has no members`, remedy: 'name at least one, or let them register' };
  if (members.length > 0 && registered)
    return {
      row,
      column: 'members',
      message: `${service.service} lets its members register and names some as well`,
      remedy: 'do one of the two',
    };
  if (members.length > 0 && members.every((member) => member.state === 'draining'))
    return {
      row,
      column: 'members.state',
      message: `every member of ${service.service} is draining`,
      remedy: 'leave at least one serving',
    };
  return undefined;
}

function serviceFaults(sheet: PlacementConfiguration): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.services.map((service) => service.service),
      { row: 'services', column: 'service' },
      'keep one entry for each service',
    ),
    ...repeatedMembers(sheet),
    ...sheet.services.flatMap((service, index) => membersFault(service, index) ?? []),
  ];
}

function unknownService(row: string, column: string, named: string): PlacementFault {
  return { row, column, message: `there is no service ${named}`, remedy: 'add it under services, or mend the name' };
}

/** Members named in a row that its service does not have. */
function rowMemberFaults(row: PlacementRow, where: string, service: ServicePlacement): readonly PlacementFault[] {
  const members = new Set(service.members.map((member) => member.member));
  const kinds = ['bounded-read', 'own-read'] as const;
  const named = [
    ...kinds.flatMap((kind) => (row.serves[kind] ?? []).map((member) => ({ column: `serves.${kind}`, member }))),
    ...Object.keys(row.weights).map((member) => ({ column: `weights.${member}`, member })),
  ];
  return named
    .filter(({ member }) => !members.has(member))
    .map(({ column, member }) => ({
      row: where,
      column,
      message: `${member} is no member of ${row.service}`,
      remedy: 'name a member of this service',
    }));
}

function rowFaults(sheet: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.rows.map((row) => `${row.service}/${row.area}`),
      { row: 'rows', column: 'service' },
      'keep one row for each service and area',
      (name) => `the row ${name} stands twice`,
    ),
    ...sheet.rows.flatMap((row, index) => {
      const where = `rows[${index}]`;
      const service = services.get(row.service);
      return service === undefined ? [unknownService(where, 'service', row.service)] : rowMemberFaults(row, where, service);
    }),
  ];
}

function keyFaults(sheet: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.keys.map((key) => key.key),
      { row: 'keys', column: 'key' },
      'keep one entry for each key',
      (key) => standsTwice(shortened(key)),
    ),
    ...sheet.keys.flatMap((key, index) =>
      key.services.filter((named) => !services.has(named)).map((named) => unknownService(`keys[${index}]`, 'services', named)),
    ),
  ];
}

function mappingFaults(sheet: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.mappings.map((mapping) => mapping.mapping),
      { row: 'mappings', column: 'mapping' },
      'give every mapping a name of its own',
    ),
    ...sheet.mappings.flatMap((mapping, index) =>
      services.has(mapping.service) ? [] : [unknownService(`mappings[${index}]`, 'service', mapping.service)],
    ),
  ];
}

function databaseFaults(sheet: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.databases.map((database) => database.database),
      { row: 'databases', column: 'database' },
      'keep one entry for each database',
    ),
    ...sheet.databases.flatMap((database, index) =>
      services.has(database.service) ? [] : [unknownService(`databases[${index}]`, 'service', database.service)],
    ),
  ];
}

function tenantFaults(sheet: PlacementConfiguration): readonly PlacementFault[] {
  return [
    ...repetitions(
      sheet.tenants.map((tenant) => tenant.tenant),
      { row: 'tenants', column: 'tenant' },
      'keep one entry for each tenant',
    ),
    ...repetitions(
      sheet.tenants.flatMap((tenant) => [...new Set(tenant.keys)]),
      { row: 'tenants', column: 'keys' },
      'give each tenant keys of its own',
      (key) => `${shortened(key)} is held by two tenants`,
    ),
  ];
}

/** Every fault of a sheet that fits the schema, in the order of its sections. */
function check(sheet: PlacementConfiguration): readonly PlacementFault[] {
  const services = new Map(sheet.services.map((service) => [service.service, service]));
  return [
    ...serviceFaults(sheet),
    ...rowFaults(sheet, services),
    ...keyFaults(sheet, services),
    ...mappingFaults(sheet, services),
    ...databaseFaults(sheet, services),
    ...tenantFaults(sheet),
    ...outageChecks.check(sheet),
  ];
}

export const crossChecks = { check } as const;
