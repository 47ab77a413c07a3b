/** Orders of operators: acknowledgements that are lost, pairs on one number, storms, large and invalid configurations, changes of each part. */
import { spareKey, type PooledFleet, type PooledSheet } from '../pooled-model.js';
import type { Back } from '../loss-budget.js';
import { anyCore, everyMachine, lastSheet, nextVersion, type PooledEvent, type PooledFault, type PooledStorm } from './common.js';
import { cut, kill } from './cores.js';
import { between, pick } from '../draws.js';

const underWayMost = 8;
const lostShare = 0.7;
const stormOrders = 40;
const stormGapMilliseconds = 150;
const largeDatabases = 300;
const racedPairs = 4;
const invalidAnswerMilliseconds = 400;
const resentOrders = 4;
const resendMilliseconds = 2_000;

function send(fleet: PooledFleet, version: number, sheet: PooledSheet): void {
  void fleet.configure(version, sheet, anyCore(fleet));
}

/** The last sheet with a database more, so that each order differs from all before it. */
export function distinct(fleet: PooledFleet, name: string): PooledSheet {
  const before = lastSheet(fleet);
  const [model] = before.databases;
  if (model === undefined) return before;
  const others = before.databases.filter((one) => !one.database.startsWith('order-'));
  return { ...before, databases: [...others, { ...model, database: `order-${name}`, service: pick(fleet, fleet.services) }] };
}

/** Replies are lost on the way: the same order is sent again, to other cores first, with several orders under way. */
function loseAcknowledgements(fleet: PooledFleet): void {
  fleet.operatorTrouble.lostShare = lostShare;
  for (let order = 0; order < underWayMost; order += 1)
    fleet.world.schedule(between(fleet, 0, 3_000), () => send(fleet, nextVersion(fleet), distinct(fleet, `lost-${fleet.versions.length}`)));
  fleet.world.schedule(between(fleet, 3_000, 7_000), function over() {
    fleet.operatorTrouble.lostShare = 0;
  });
  fleet.world.schedule(resendMilliseconds / 2, () => reuseNumbers(fleet));
}

/** What was sent before arrives again, to any core. */
function resendOrders(fleet: PooledFleet): void {
  for (let count = 0; count < resentOrders; count += 1) {
    const sent = pick(fleet, fleet.versions);
    fleet.world.schedule(between(fleet, 0, resendMilliseconds), () => void fleet.resend(sent, anyCore(fleet)));
  }
}

/** Another sheet comes under a number that was sent before, or under an older one that nobody has used. */
function reuseNumbers(fleet: PooledFleet): void {
  const numbers = fleet.versions.map((sent) => sent.version);
  const highest = Math.max(...numbers);
  const unused = Array.from({ length: highest }, (_, index) => index + 1).filter((number) => !numbers.includes(number));
  send(fleet, pick(fleet, numbers), distinct(fleet, `reused-${fleet.versions.length}`));
  if (unused.length === 0) return;
  const number = pick(fleet, unused);
  send(fleet, number, distinct(fleet, `unused-${fleet.versions.length}`));
  send(fleet, number, distinct(fleet, `unused-${fleet.versions.length}`));
}

/** Orders are raced while a core crashes, or is cut off from all others, and what was sent comes again. */
function raceThroughTrouble(fleet: PooledFleet, storm: PooledStorm, back: Back): void {
  fleet.world.schedule(between(fleet, 0, 40), () =>
    fleet.world.fraction() < 0.5 ? kill(fleet, storm, back) : cut('both', everyMachine)(fleet, storm, back),
  );
  raceOnOneNumber(fleet);
  fleet.world.schedule(resendMilliseconds, () => resendOrders(fleet));
}

/** Two operators send different configurations on top of the same one, at the same moment, under numbers next to each other. */
function raceOrders(fleet: PooledFleet): void {
  for (let pair = 0; pair < racedPairs; pair += 1)
    fleet.world.schedule(pair * between(fleet, 300, 1_200), function both() {
      const version = nextVersion(fleet);
      const [left, right] = [distinct(fleet, `left-${version}`), distinct(fleet, `right-${version}`)];
      send(fleet, version, left);
      send(fleet, version + 1, right);
    });
}

/** Two operators send different configurations under one number, to two cores. */
function raceOnOneNumber(fleet: PooledFleet): void {
  for (let pair = 0; pair < racedPairs; pair += 1)
    fleet.world.schedule(pair * between(fleet, 300, 1_200), function both() {
      const version = nextVersion(fleet);
      const [left, right] = [distinct(fleet, `left-${version}`), distinct(fleet, `right-${version}`)];
      const core = anyCore(fleet);
      void fleet.configure(version, left, core);
      void fleet.configure(version, right, (core + 1) % fleet.cores.length);
    });
}

function stormOfOrders(fleet: PooledFleet): void {
  for (let order = 0; order < stormOrders; order += 1)
    fleet.world.schedule(order * stormGapMilliseconds, () =>
      send(fleet, nextVersion(fleet), distinct(fleet, `storm-${fleet.versions.length}`)),
    );
}

function largeConfiguration(fleet: PooledFleet): void {
  const before = lastSheet(fleet);
  const [model] = before.databases;
  if (model === undefined) return;
  const many = Array.from({ length: largeDatabases }, (_, index) => ({ ...model, database: `large-${index}` }));
  send(fleet, nextVersion(fleet), {
    ...before,
    databases: [...before.databases.filter((one) => !one.database.startsWith('large-')), ...many],
  });
  fleet.world.schedule(between(fleet, 3_000, 6_000), function smaller() {
    const last = lastSheet(fleet);
    send(fleet, nextVersion(fleet), { ...last, databases: last.databases.filter((one) => !one.database.startsWith('large-')) });
  });
}

// -- Orders that must change nothing.

type Invalid = Readonly<{ version: number; sheet: unknown }>;

const invalidOrders: Readonly<Record<string, (fleet: PooledFleet, sheet: PooledSheet) => Invalid>> = {
  'cut-short': (fleet, sheet) => ({ version: nextVersion(fleet), sheet: JSON.stringify(sheet).slice(0, 200) }),
  'without-services': (fleet, sheet) => ({ version: nextVersion(fleet), sheet: { ...sheet, services: undefined } }),
  'unknown-service': (fleet, sheet) => ({
    version: nextVersion(fleet),
    sheet: { ...sheet, databases: sheet.databases.map((one) => ({ ...one, service: 'nowhere' })) },
  }),
  'same-database': (fleet, sheet) => ({
    version: nextVersion(fleet),
    sheet: { ...sheet, databases: [...sheet.databases, ...sheet.databases.slice(0, 1)] },
  }),
  'shared-key': (fleet, sheet) => ({
    version: nextVersion(fleet),
    sheet: { ...sheet, tenants: sheet.tenants.map((tenant) => ({ ...tenant, keys: ['key-shared'] })) },
  }),
  'without-time-out': (fleet, sheet) => ({
    version: nextVersion(fleet),
    sheet: { ...sheet, databases: sheet.databases.map((one) => ({ ...one, horizonMilliseconds: -1 })) },
  }),
};

async function sendInvalid(fleet: PooledFleet, storm: PooledStorm, variant: string, order: Invalid): Promise<void> {
  const reply = await fleet.call(anyCore(fleet), '/configuration', order);
  storm.invalidOrders.push({ variant, at: fleet.world.now(), status: reply.status });
}

function invalidFault(variant: string): PooledEvent {
  return {
    name: `order-invalid-${variant}`,
    run: function sendThem(fleet, storm) {
      const make = invalidOrders[variant];
      if (make === undefined) return false;
      for (let attempt = 0; attempt < 2; attempt += 1)
        fleet.world.schedule(
          attempt * invalidAnswerMilliseconds,
          () => void sendInvalid(fleet, storm, variant, make(fleet, lastSheet(fleet))),
        );
      return undefined;
    },
  };
}

/** A text under a number that stands already, or under one that was overtaken: whatever is answered, it never comes into force. */
function sendStale(number: (versions: readonly number[]) => number): PooledEvent['run'] {
  return function stale(fleet) {
    const acknowledged = fleet.versions.filter((sent) => Number.isFinite(sent.acknowledgedAt)).map((sent) => sent.version);
    if (acknowledged.length === 0) return false;
    const tenant = fleet.firstSheet().tenants[0]?.tenant ?? 'tenant-one';
    const sheet = { ...lastSheet(fleet), tenants: [{ tenant, keys: ['key-never-given'] }] };
    send(fleet, number(acknowledged), sheet);
    return undefined;
  };
}

// -- Changes of one part each.

/** A database comes, goes, or moves to another service; now and then two operators send at once. */
function changeConfiguration(fleet: PooledFleet): void {
  const before = lastSheet(fleet);
  const kind = pick(fleet, ['add', 'remove', 'move'] as const);
  const [model] = before.databases;
  const extra = before.databases.find((one) => one.database.startsWith('extra'));
  const databases =
    kind === 'add' && model !== undefined
      ? [...before.databases, { ...model, database: `extra-${fleet.versions.length}`, service: pick(fleet, fleet.services) }]
      : kind === 'remove' && extra !== undefined
        ? before.databases.filter((one) => one !== extra)
        : before.databases.map((one) =>
            one.database === `${fleet.services[0]}-late`
              ? {
                  ...one,
                  service: pick(
                    fleet,
                    fleet.services.filter((service) => service !== one.service),
                  ),
                }
              : one,
          );
  const next = nextVersion(fleet);
  void fleet.configure(next, { ...before, databases }, Math.floor(fleet.world.fraction() * fleet.cores.length));
  if (fleet.world.fraction() < 0.3)
    void fleet.configure(next + 1, { ...before, databases }, Math.floor(fleet.world.fraction() * fleet.cores.length));
}

export function withdrawKey(fleet: PooledFleet): void {
  const before = lastSheet(fleet);
  const has = before.tenants.some((tenant) => tenant.keys.includes(spareKey));
  const tenants = before.tenants.map((tenant, index) =>
    index > 0 ? tenant : { ...tenant, keys: has ? tenant.keys.filter((key) => key !== spareKey) : [...tenant.keys, spareKey] },
  );
  void fleet.configure(nextVersion(fleet), { ...before, tenants }, Math.floor(fleet.world.fraction() * fleet.cores.length));
}

type Change = (fleet: PooledFleet, sheet: PooledSheet) => PooledSheet;

const changes: Readonly<Record<string, Change>> = {
  'time-outs': (fleet, sheet) => ({
    ...sheet,
    databases: sheet.databases.map((one) => ({ ...one, horizonMilliseconds: Math.round(between(fleet, 1_000, 2_500)) })),
  }),
  tenants: (_fleet, sheet) => ({
    ...sheet,
    tenants: sheet.tenants.some((one) => one.tenant === 'tenant-three')
      ? sheet.tenants.filter((one) => one.tenant !== 'tenant-three')
      : [...sheet.tenants, { tenant: 'tenant-three', keys: ['key-three'] }],
  }),
  'connection-limits': (fleet, sheet) => ({
    ...sheet,
    services: sheet.services.map((one) => ({ ...one, connectionLimit: Math.round(between(fleet, 45, 60)) })),
  }),
  rests: (fleet, sheet) => ({ ...sheet, bounds: { restMilliseconds: Math.round(between(fleet, 1_200, 1_500)) } }),
};

function changeFault(part: string): PooledEvent {
  return {
    name: `configuration-changes-${part}`,
    run: function change(fleet) {
      const made = changes[part]?.(fleet, lastSheet(fleet));
      if (made === undefined) return false;
      send(fleet, nextVersion(fleet), made);
      return undefined;
    },
  };
}

export const operatorFaults: readonly PooledFault[] = [
  { name: 'acknowledgements-lost', run: loseAcknowledgements },
  { name: 'orders-raced', run: raceOrders },
  { name: 'orders-raced-on-one-number', run: raceOnOneNumber },
  { name: 'orders-resent', run: resendOrders },
  { name: 'order-numbers-reused', run: reuseNumbers },
  { name: 'orders-raced-in-trouble', losses: [raceThroughTrouble] },
  { name: 'orders-stormed', run: stormOfOrders },
  { name: 'configuration-large', run: largeConfiguration },
  ...Object.keys(invalidOrders).map(invalidFault),
  { name: 'order-under-same-number', run: sendStale((versions) => Math.max(...versions)) },
  { name: 'order-under-old-number', run: sendStale((versions) => Math.min(...versions) - 1) },
  { name: 'configuration-changed', run: changeConfiguration },
  { name: 'key-withdrawn', run: withdrawKey },
  ...Object.keys(changes).map(changeFault),
];
