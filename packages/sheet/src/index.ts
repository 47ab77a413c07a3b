// The operators' placement sheet: one row for each database and zone, checked whole by zod (design 6.1).
import * as Either from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import { fault, type Fault } from '@stallstall/kernel';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'use letters, digits, dot, dash and underscore, at most 63');
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'give an IP number and a port, as in 127.0.0.1:7101');

export const statementKinds = ['write', 'leader-read', 'bounded-read', 'own-read'] as const;
export type StatementKind = (typeof statementKinds)[number];

const memberSchema = z.strictObject({
  member: name,
  area: name,
  address,
  state: z.enum(['serving', 'draining']).default('serving'),
});

const serviceSchema = z.strictObject({
  service: name,
  connectionLimit: z.number().int().min(1).max(100_000),
  members: z.array(memberSchema).max(99).default([]),
  /** Its members make themselves known by their beats; the sheet names none (design 4.7). */
  registered: z.boolean().default(false),
  /** How many replicas hold a commit before its member replies. */
  synchronousReplicas: z.number().int().min(0).max(9).default(0),
});

const rowSchema = z.strictObject({
  service: name,
  area: name,
  serves: z.strictObject({
    write: z.literal('leader').optional(),
    'leader-read': z.literal('leader').optional(),
    'bounded-read': z.array(name).min(1).optional(),
    'own-read': z.array(name).min(1).optional(),
  }),
  weights: z.record(name, z.number().min(0).max(1_000)).default({}),
  staleMilliseconds: z.number().int().min(200).max(60_000).default(1_500),
  mostWaiting: z.number().int().min(1).max(100_000).default(400),
});

const keySchema = z.strictObject({
  key: z.string().min(8, 'use at least 8 characters').max(200),
  services: z.array(name).min(1),
  kinds: z
    .array(z.enum(statementKinds))
    .min(1)
    .default([...statementKinds]),
});

/** A named statement that senders call by its name alone (design 8.7). */
const mappingSchema = z.strictObject({
  mapping: name,
  service: name,
  kind: z.enum(statementKinds),
  text: z.string().min(1).max(65_536),
});

/** What a sender of the session wire opens by its name, and how its reads and writes are placed (design 8.10). */
const databaseSchema = z.strictObject({
  database: z.string().regex(/^[^\s]{1,253}$/, 'use 1 to 253 characters without blanks'),
  service: name,
  reads: z.enum(['leader', 'bounded', 'own']),
  staleMilliseconds: z.number().int().min(0).max(600_000).default(0),
  horizonMilliseconds: z.number().int().min(1).max(600_000),
  aimMilliseconds: z.number().int().min(1).max(600_000).default(1_000),
  rank: z.number().int().min(0).max(1_000).default(0),
  /** Let in without a key. */
  open: z.boolean().default(false),
});

const tenantSchema = z.strictObject({
  tenant: z.string().regex(/^[^\s]{1,200}$/, 'use 1 to 200 characters without blanks'),
  keys: z.array(z.string().regex(/^[^\s]{1,200}$/, 'use 1 to 200 characters without blanks')).max(1_000),
  rank: z.number().int().min(0).max(1_000).default(0),
});

export const weekdays = ['sunday', 'monday', 'tuesday', 'wednesday', 'thursday', 'friday', 'saturday'] as const;

const weeklySchema = z.strictObject({
  day: z.enum(weekdays),
  /** Minutes of that day by UTC; what ends after midnight ends beyond 1440. */
  from: z.number().int().min(0).max(1_439),
  to: z.number().int().min(1).max(2_880),
});

/** Announced windows in which a site's uplink is away, and what its edges hold through them (design 8.13). */
const outageSchema = z.strictObject({
  site: name,
  nodes: z.array(name).min(1).max(99),
  databases: z.array(z.string()).min(1).max(1_000),
  from: z.iso.datetime().optional(),
  to: z.iso.datetime().optional(),
  weekly: z.array(weeklySchema).max(50).default([]),
  /** So long before a window its copy is made. */
  holdMilliseconds: z.number().int().min(1_000).max(86_400_000).default(600_000),
  mostBytes: z.number().int().min(1_024).max(67_108_864).default(16_777_216),
  /** Reads to be held whether or not anybody asked them. */
  things: z
    .array(z.strictObject({ database: z.string(), tenant: z.string(), text: z.string().min(1).max(65_536) }))
    .max(5_000)
    .default([]),
});

const boundsSchema = z.strictObject({
  /** How long a transaction may rest before it may be ended. */
  restMilliseconds: z.number().int().min(1).max(600_000).default(5_000),
  messageBytes: z.number().int().min(1_024).max(1_048_576).default(1_048_576),
});

const sheetSchema = z.strictObject({
  services: z.array(serviceSchema).max(500),
  rows: z.array(rowSchema).max(5_000),
  keys: z.array(keySchema).max(10_000),
  mappings: z.array(mappingSchema).max(5_000).default([]),
  databases: z.array(databaseSchema).max(20_000).default([]),
  tenants: z.array(tenantSchema).max(10_000).default([]),
  /** None when left out: a sheet without any stays, byte for byte, what it was. */
  outages: z.array(outageSchema).max(500).optional(),
  bounds: boundsSchema.default({ restMilliseconds: 5_000, messageBytes: 1_048_576 }),
});

export type Sheet = z.infer<typeof sheetSchema>;
export type SheetService = Sheet['services'][number];
export type SheetMember = SheetService['members'][number];
export type SheetRow = Sheet['rows'][number];
export type SheetMapping = Sheet['mappings'][number];
export type SheetKey = Sheet['keys'][number];
export type SheetDatabase = Sheet['databases'][number];
export type SheetTenant = Sheet['tenants'][number];

export type SheetOutage = NonNullable<Sheet['outages']>[number];
/** By the wall clock. */
export type OutageWindow = Readonly<{ from: number; to: number }>;

export type SheetFault = Readonly<{ row: string; column: string; message: string; remedy: string }>;

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

function repeated(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  return [
    ...new Set(
      names.filter(function again(candidate) {
        if (seen.has(candidate)) return true;
        seen.add(candidate);
        return false;
      }),
    ),
  ];
}

const minuteMilliseconds = 60_000;
const dayMilliseconds = 86_400_000;
const weekMilliseconds = 7 * dayMilliseconds;
/** The first of January 1970 was a Thursday. */
const firstSunday = 3 * dayMilliseconds;

/** The windows of an outage that touch a span of the wall clock, the earliest first. */
function windows(outage: SheetOutage, from: number, to: number): readonly OutageWindow[] {
  const dated = outage.from === undefined || outage.to === undefined ? [] : [{ from: Date.parse(outage.from), to: Date.parse(outage.to) }];
  const week = firstSunday + Math.floor((from - firstSunday) / weekMilliseconds) * weekMilliseconds;
  const weeks = Array.from({ length: Math.ceil((to - week) / weekMilliseconds) + 1 }, (_, index) => week + (index - 1) * weekMilliseconds);
  const recurring = weeks.flatMap((sunday) =>
    outage.weekly.map((one) => {
      const day = sunday + weekdays.indexOf(one.day) * dayMilliseconds;
      return { from: day + one.from * minuteMilliseconds, to: day + one.to * minuteMilliseconds };
    }),
  );
  return [...dated, ...recurring].filter((one) => one.from < to && one.to > from).sort((left, right) => left.from - right.from);
}

function meet(left: OutageWindow, right: OutageWindow): boolean {
  return left.from < right.to && right.from < left.to;
}

/** Dated windows are looked at where they stand; weekly ones over two weeks of any. */
function overlap(left: SheetOutage, right: SheetOutage): boolean {
  const [dated] = [left, right].flatMap((one) =>
    one.from === undefined || one.to === undefined ? [] : [{ from: Date.parse(one.from), to: Date.parse(one.to) }],
  );
  const span = dated ?? { from: firstSunday, to: firstSunday + 2 * weekMilliseconds };
  const others = windows(right, span.from, span.to);
  return windows(left, span.from, span.to).some((one, index) =>
    others.some((other, place) => (left !== right || index < place) && meet(one, other)),
  );
}

function outageFaults(sheet: Sheet): readonly SheetFault[] {
  const faults: SheetFault[] = [];
  const databases = new Set(sheet.databases.map((database) => database.database));
  const tenants = new Set(sheet.tenants.map((tenant) => tenant.tenant));
  const outages = sheet.outages ?? [];
  for (const [index, outage] of outages.entries()) {
    const row = `outages[${index}] (${outage.site})`;
    const isDated = outage.from !== undefined && outage.to !== undefined;
    if (isDated === outage.weekly.length > 0 || (outage.from === undefined) !== (outage.to === undefined)) {
      faults.push({
        row,
        column: 'from',
        message: 'it has no window, or more than one sort of it',
        remedy: 'give from and to, or weekly windows',
      });
      continue;
    }
    if (Date.parse(outage.from ?? '') >= Date.parse(outage.to ?? '') || outage.weekly.some((one) => one.from >= one.to)) {
      faults.push({
        row,
        column: 'to',
        message: 'a window ends before it begins',
        remedy: 'let it end later; after midnight is beyond minute 1440',
      });
      continue;
    }
    for (const named of [...outage.databases, ...outage.things.map((thing) => thing.database)]) {
      if (!databases.has(named))
        faults.push({
          row,
          column: 'databases',
          message: `there is no database ${named}`,
          remedy: 'add it under databases, or mend the name',
        });
    }
    for (const thing of outage.things) {
      if (!tenants.has(thing.tenant))
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
    for (const other of outages.slice(index)) {
      const shared = other.site === outage.site ? other.databases.filter((named) => outage.databases.includes(named)) : [];
      if (shared.length > 0 && overlap(outage, other))
        faults.push({
          row,
          column: 'from',
          message: `windows of ${outage.site} overlap for ${shared[0]}`,
          remedy: 'make one window of them, or move one',
        });
    }
  }
  return faults;
}

function crossFaults(sheet: Sheet): readonly SheetFault[] {
  const faults: SheetFault[] = [];
  function add(row: string, column: string, message: string, remedy: string): void {
    faults.push({ row, column, message, remedy });
  }
  const services = new Map(
    sheet.services.map(function pair(service) {
      return [service.service, service] as const;
    }),
  );
  for (const twice of repeated(sheet.services.map((service) => service.service))) {
    add('services', 'service', `${twice} stands twice`, 'keep one entry for each service');
  }
  const everyMember = sheet.services.flatMap((service) => service.members);
  for (const twice of repeated(everyMember.map((member) => member.member))) {
    add('services', 'members.member', `${twice} stands twice`, 'give every member a name of its own');
  }
  for (const twice of repeated(everyMember.map((member) => member.address))) {
    add('services', 'members.address', `${twice} stands twice`, 'give every member an address of its own');
  }
  for (const [index, service] of sheet.services.entries()) {
    if (service.members.length === 0 && !service.registered) {
      add(`services[${index}]`, 'members', `${service.service} has no members`, 'name at least one, or let them register');
    } else if (service.members.length > 0 && service.registered) {
      add(`services[${index}]`, 'members', `${service.service} lets its members register and names some as well`, 'do one of the two');
    } else if (service.members.length > 0 && service.members.every((member) => member.state === 'draining')) {
      add(`services[${index}]`, 'members.state', `every member of ${service.service} is draining`, 'leave at least one serving');
    }
  }
  for (const twice of repeated(sheet.rows.map((row) => `${row.service}/${row.area}`))) {
    add('rows', 'service', `the row ${twice} stands twice`, 'keep one row for each service and area');
  }
  for (const [index, row] of sheet.rows.entries()) {
    const service = services.get(row.service);
    const where = `rows[${index}]`;
    if (service === undefined) {
      add(where, 'service', `there is no service ${row.service}`, 'add it under services, or mend the name');
      continue;
    }
    const members = new Set(service.members.map((member) => member.member));
    for (const kind of ['bounded-read', 'own-read'] as const) {
      for (const named of row.serves[kind] ?? []) {
        if (!members.has(named)) add(where, `serves.${kind}`, `${named} is no member of ${row.service}`, 'name a member of this service');
      }
    }
    for (const named of Object.keys(row.weights)) {
      if (!members.has(named)) add(where, `weights.${named}`, `${named} is no member of ${row.service}`, 'name a member of this service');
    }
  }
  for (const twice of repeated(sheet.keys.map((key) => key.key))) {
    add('keys', 'key', `${twice.slice(0, 4)}… stands twice`, 'keep one entry for each key');
  }
  for (const [index, key] of sheet.keys.entries()) {
    for (const named of key.services) {
      if (!services.has(named))
        add(`keys[${index}]`, 'services', `there is no service ${named}`, 'add it under services, or mend the name');
    }
  }
  for (const twice of repeated(sheet.mappings.map((mapping) => mapping.mapping))) {
    add('mappings', 'mapping', `${twice} stands twice`, 'give every mapping a name of its own');
  }
  for (const [index, mapping] of sheet.mappings.entries()) {
    if (!services.has(mapping.service))
      add(`mappings[${index}]`, 'service', `there is no service ${mapping.service}`, 'add it under services, or mend the name');
  }
  for (const twice of repeated(sheet.databases.map((database) => database.database))) {
    add('databases', 'database', `${twice} stands twice`, 'keep one entry for each database');
  }
  for (const [index, database] of sheet.databases.entries()) {
    if (!services.has(database.service))
      add(`databases[${index}]`, 'service', `there is no service ${database.service}`, 'add it under services, or mend the name');
  }
  for (const twice of repeated(sheet.tenants.map((tenant) => tenant.tenant))) {
    add('tenants', 'tenant', `${twice} stands twice`, 'keep one entry for each tenant');
  }
  for (const twice of repeated(sheet.tenants.flatMap((tenant) => [...new Set(tenant.keys)]))) {
    add('tenants', 'keys', `${twice.slice(0, 4)}… is held by two tenants`, 'give each tenant keys of its own');
  }
  return [...faults, ...outageFaults(sheet)];
}

/** One answer that lists every fault; nothing is taken from a sheet that has one. */
function check(value: unknown): Either.Either<Fault, Sheet> {
  const parsed = sheetSchema.safeParse(value);
  const faults: readonly SheetFault[] = parsed.success
    ? crossFaults(parsed.data)
    : parsed.error.issues.map(function told(issue) {
        return { ...place(issue.path), message: issue.message, remedy: remedyOf(issue.code) };
      });
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

function service(sheet: Sheet, named: string): SheetService | undefined {
  return sheet.services.find((candidate) => candidate.service === named);
}

function member(sheet: Sheet, named: string): SheetMember | undefined {
  for (const candidate of sheet.services) {
    const found = candidate.members.find((one) => one.member === named);
    if (found !== undefined) return found;
  }
  return undefined;
}

function row(sheet: Sheet, named: string, area: string): SheetRow | undefined {
  return sheet.rows.find((candidate) => candidate.service === named && candidate.area === area);
}

function mapping(sheet: Sheet, named: string): SheetMapping | undefined {
  return sheet.mappings.find((candidate) => candidate.mapping === named);
}

function allows(sheet: Sheet, key: string, named: string, kind: StatementKind): boolean {
  return sheet.keys.some((candidate) => candidate.key === key && candidate.services.includes(named) && candidate.kinds.includes(kind));
}

/** The share of a member's connection limit that one edge may hold; every node keeps one for its probe (design 8.3). */
function share(limit: number, nodes: number, edges: number): number {
  return edges === 0 ? 0 : Math.max(0, Math.floor((limit - nodes) / edges));
}

export const sheets = { check, service, member, row, mapping, allows, share, windows } as const;
