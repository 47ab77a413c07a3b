/** Checks of the announced outages in a placement configuration that its schema cannot express (design 8.13). */
import { outageWindows } from './outage-windows.js';
import type { PlacementConfiguration, AnnouncedOutage } from './schema.js';
import type { PlacementFault } from './placement-faults.js';

/** The names that outages may refer to. */
type Names = Readonly<{ databases: ReadonlySet<string>; tenants: ReadonlySet<string> }>;

/** A fault in the outage's own windows. Without valid windows the rest of the outage cannot be checked. */
function windowFault(outage: AnnouncedOutage, row: string): PlacementFault | undefined {
  const isDated = outage.from !== undefined && outage.to !== undefined;
  if (isDated === outage.weekly.length > 0 || (outage.from === undefined) !== (outage.to === undefined))
    return {
      row,
      column: 'from',
      message: 'the outage has no window, or both dated and weekly ones',
      remedy: 'set either from and to, or weekly windows',
    };
  if (Date.parse(outage.from ?? '') >= Date.parse(outage.to ?? '') || outage.weekly.some((window) => window.from >= window.to))
    return {
      row,
      column: 'to',
      message: 'a window ends before it begins',
      remedy: 'use a later end; a weekly window past midnight ends after minute 1440',
    };
  return undefined;
}

function databaseFaults(outage: AnnouncedOutage, row: string, names: Names): readonly PlacementFault[] {
  return [...outage.databases, ...outage.things.map((thing) => thing.database)]
    .filter((name) => !names.databases.has(name))
    .map((name) => ({
      row,
      column: 'databases',
      message: `there is no database ${name}`,
      remedy: 'add it under databases, or correct the name',
    }));
}

function readFaults(outage: AnnouncedOutage, row: string, names: Names): readonly PlacementFault[] {
  const faults: PlacementFault[] = [];
  for (const thing of outage.things) {
    if (!names.tenants.has(thing.tenant))
      faults.push({
        row,
        column: 'things.tenant',
        message: `there is no tenant ${thing.tenant}`,
        remedy: 'add it under tenants, or correct the name',
      });
    if (!outage.databases.includes(thing.database))
      faults.push({
        row,
        column: 'things.database',
        message: `${thing.database} is not listed under databases of this outage`,
        remedy: 'add it under databases of the outage',
      });
  }
  return faults;
}

/** @param others - the outage itself and those after it, so that each pair is reported once */
function overlapFaults(outage: AnnouncedOutage, row: string, others: readonly AnnouncedOutage[]): readonly PlacementFault[] {
  const faults: PlacementFault[] = [];
  for (const other of others) {
    const shared = other.site === outage.site ? other.databases.filter((name) => outage.databases.includes(name)) : [];
    if (shared.length > 0 && outageWindows.overlap(outage, other))
      faults.push({
        row,
        column: 'from',
        message: `windows of ${outage.site} overlap for ${shared[0]}`,
        remedy: 'merge the windows, or move one of them',
      });
  }
  return faults;
}

function check(configuration: PlacementConfiguration): readonly PlacementFault[] {
  const names: Names = {
    databases: new Set(configuration.databases.map((database) => database.database)),
    tenants: new Set(configuration.tenants.map((tenant) => tenant.tenant)),
  };
  const outages = configuration.outages ?? [];
  return outages.flatMap((outage, index) => {
    const row = `outages[${index}] (${outage.site})`;
    const fault = windowFault(outage, row);
    if (fault !== undefined) return [fault];
    return [...databaseFaults(outage, row, names), ...readFaults(outage, row, names), ...overlapFaults(outage, row, outages.slice(index))];
  });
}

export const outageChecks = { check } as const;
