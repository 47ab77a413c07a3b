/** Checks of a sheet's announced outages that its schema cannot express (design 8.13). */
import { outageWindows } from './outage-windows.js';
import type { PlacementConfiguration, AnnouncedOutage } from './schema.js';
import type { PlacementFault } from './sheet-faults.js';

/** The names that outages may refer to. */
type Names = Readonly<{ databases: ReadonlySet<string>; tenants: ReadonlySet<string> }>;

/** The fault of the windows themselves, if there is one: without sound windows nothing else of the outage can be checked. */
function windowFault(outage: AnnouncedOutage, row: string): PlacementFault | undefined {
  const isDated = outage.from !== undefined && outage.to !== undefined;
  if (isDated === outage.weekly.length > 0 || (outage.from === undefined) !== (outage.to === undefined))
    return {
      row,
      column: 'from',
      message: 'it has no window, or more than one sort of it',
      remedy: 'give from and to, or weekly windows',
    };
  if (Date.parse(outage.from ?? '') >= Date.parse(outage.to ?? '') || outage.weekly.some((one) => one.from >= one.to))
    return {
      row,
      column: 'to',
      message: 'a window ends before it begins',
      remedy: 'let it end later; after midnight is beyond minute 1440',
    };
  return undefined;
}

function databaseFaults(outage: AnnouncedOutage, row: string, names: Names): readonly PlacementFault[] {
  return [...outage.databases, ...outage.things.map((thing) => thing.database)]
    .filter((named) => !names.databases.has(named))
    .map((named) => ({
      row,
      column: 'databases',
      message: `there is no database ${named}`,
      remedy: 'add it under databases, or mend the name',
    }));
}

function thingFaults(outage: AnnouncedOutage, row: string, names: Names): readonly PlacementFault[] {
  const faults: PlacementFault[] = [];
  for (const thing of outage.things) {
    if (!names.tenants.has(thing.tenant))
      faults.push({
        row,
        column: 'things.tenant',
        message: `there is no tenant ${thing.tenant}`,
        remedy: 'add it under tenants, or mend the name',
      });
    if (!outage.databases.includes(thing.database))
      faults.push({
        row,
        column: 'things.database',
        message: `${thing.database} is not held in this outage`,
        remedy: 'name it under databases of the outage as well',
      });
  }
  return faults;
}

/** `others`: the outage itself and those after it, so that each pair is told once. */
function overlapFaults(outage: AnnouncedOutage, row: string, others: readonly AnnouncedOutage[]): readonly PlacementFault[] {
  const faults: PlacementFault[] = [];
  for (const other of others) {
    const shared = other.site === outage.site ? other.databases.filter((named) => outage.databases.includes(named)) : [];
    if (shared.length > 0 && outageWindows.overlap(outage, other))
      faults.push({
        row,
        column: 'from',
        message: `windows of ${outage.site} overlap for ${shared[0]}`,
        remedy: 'make one window of them, or move one',
      });
  }
  return faults;
}

function check(sheet: PlacementConfiguration): readonly PlacementFault[] {
  const names: Names = {
    databases: new Set(sheet.databases.map((database) => database.database)),
    tenants: new Set(sheet.tenants.map((tenant) => tenant.tenant)),
  };
  const outages = sheet.outages ?? [];
  return outages.flatMap((outage, index) => {
    const row = `outages[${index}] (${outage.site})`;
    const fault = windowFault(outage, row);
    if (fault !== undefined) return [fault];
    return [...databaseFaults(outage, row, names), ...thingFaults(outage, row, names), ...overlapFaults(outage, row, outages.slice(index))];
  });
}

export const outageChecks = { check } as const;
