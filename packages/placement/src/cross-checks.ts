/** Checks of a placement configuration that its schema cannot express: duplicate names, and references to names that are not defined. */
import { outageChecks } from './outage-checks.js';
import type { PlacementConfiguration, PlacementRow, ServicePlacement } from './schema.js';
import { placementFaults, type PlacementFault } from './placement-faults.js';

const { duplicateFaults, abbreviated, duplicateMessage } = placementFaults;

function duplicateMemberFaults(configuration: PlacementConfiguration): readonly PlacementFault[] {
  const members = configuration.services.flatMap((service) => service.members);
  return [
    ...duplicateFaults(
      members.map((member) => member.member),
      { row: 'services', column: 'members.member' },
      'use a unique name for every member',
    ),
    ...duplicateFaults(
      members.map((member) => member.address),
      { row: 'services', column: 'members.address' },
      'use a unique address for every member',
    ),
  ];
}

function membersFault(service: ServicePlacement, index: number): PlacementFault | undefined {
  const row = `services[${index}]`;
  const { members, registered } = service;
  if (members.length === 0 && !registered)
    return {
      row,
      column: 'members',
      message: `${service.service} has no members`,
      remedy: 'list at least one member, or set registered to true',
    };
  if (members.length > 0 && registered)
    return {
      row,
      column: 'members',
      message: `${service.service} has registered members and lists members as well`,
      remedy: 'remove the members, or set registered to false',
    };
  if (members.length > 0 && members.every((member) => member.state === 'draining'))
    return {
      row,
      column: 'members.state',
      message: `every member of ${service.service} is draining`,
      remedy: 'set at least one of them to serving',
    };
  return undefined;
}

function serviceFaults(configuration: PlacementConfiguration): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.services.map((service) => service.service),
      { row: 'services', column: 'service' },
      'keep one entry for each service',
    ),
    ...duplicateMemberFaults(configuration),
    ...configuration.services.flatMap((service, index) => membersFault(service, index) ?? []),
  ];
}

function unknownService(row: string, column: string, name: string): PlacementFault {
  return { row, column, message: `there is no service ${name}`, remedy: 'add it under services, or correct the name' };
}

/** Faults for members that a row refers to and its service does not have. */
function rowMemberFaults(row: PlacementRow, location: string, service: ServicePlacement): readonly PlacementFault[] {
  const members = new Set(service.members.map((member) => member.member));
  const kinds = ['bounded-read', 'own-read'] as const;
  const references = [
    ...kinds.flatMap((kind) => (row.serves[kind] ?? []).map((member) => ({ column: `serves.${kind}`, member }))),
    ...Object.keys(row.weights).map((member) => ({ column: `weights.${member}`, member })),
  ];
  return references
    .filter(({ member }) => !members.has(member))
    .map(({ column, member }) => ({
      row: location,
      column,
      message: `${member} is not a member of ${row.service}`,
      remedy: 'use the name of a member of this service',
    }));
}

function rowFaults(configuration: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.rows.map((row) => `${row.service}/${row.area}`),
      { row: 'rows', column: 'service' },
      'keep one row for each service and area',
      (name) => `the row ${name} occurs more than once`,
    ),
    ...configuration.rows.flatMap((row, index) => {
      const location = `rows[${index}]`;
      const service = services.get(row.service);
      return service === undefined ? [unknownService(location, 'service', row.service)] : rowMemberFaults(row, location, service);
    }),
  ];
}

function keyFaults(configuration: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.keys.map((key) => key.key),
      { row: 'keys', column: 'key' },
      'keep one entry for each key',
      (key) => duplicateMessage(abbreviated(key)),
    ),
    ...configuration.keys.flatMap((key, index) =>
      key.services.filter((name) => !services.has(name)).map((name) => unknownService(`keys[${index}]`, 'services', name)),
    ),
  ];
}

function mappingFaults(configuration: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.mappings.map((mapping) => mapping.mapping),
      { row: 'mappings', column: 'mapping' },
      'use a unique name for every mapping',
    ),
    ...configuration.mappings.flatMap((mapping, index) =>
      services.has(mapping.service) ? [] : [unknownService(`mappings[${index}]`, 'service', mapping.service)],
    ),
  ];
}

function databaseFaults(configuration: PlacementConfiguration, services: ReadonlyMap<string, ServicePlacement>): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.databases.map((database) => database.database),
      { row: 'databases', column: 'database' },
      'keep one entry for each database',
    ),
    ...configuration.databases.flatMap((database, index) =>
      services.has(database.service) ? [] : [unknownService(`databases[${index}]`, 'service', database.service)],
    ),
  ];
}

function tenantFaults(configuration: PlacementConfiguration): readonly PlacementFault[] {
  return [
    ...duplicateFaults(
      configuration.tenants.map((tenant) => tenant.tenant),
      { row: 'tenants', column: 'tenant' },
      'keep one entry for each tenant',
    ),
    ...duplicateFaults(
      configuration.tenants.flatMap((tenant) => [...new Set(tenant.keys)]),
      { row: 'tenants', column: 'keys' },
      'assign each key to one tenant only',
      (key) => `${abbreviated(key)} is assigned to more than one tenant`,
    ),
  ];
}

/** All faults of a placement configuration that matches the schema, in the order of its sections. */
function check(configuration: PlacementConfiguration): readonly PlacementFault[] {
  const services = new Map(configuration.services.map((service) => [service.service, service]));
  return [
    ...serviceFaults(configuration),
    ...rowFaults(configuration, services),
    ...keyFaults(configuration, services),
    ...mappingFaults(configuration, services),
    ...databaseFaults(configuration, services),
    ...tenantFaults(configuration),
    ...outageChecks.check(configuration),
  ];
}

export const crossChecks = { check } as const;
