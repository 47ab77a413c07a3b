/** The schema of the placement configuration, and the types derived from it (design 6.1). */
import { byteText } from '@stallstall/kernel';
import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'use at most 63 letters, digits, dots, dashes and underscores');
/** A name that is carried as one word of a line: no part of it may end a word, and it must have an encoding. */
function word(maximumLength: number): z.ZodString {
  return z
    .string()
    .regex(new RegExp(`^[^\\s]{1,${maximumLength}}$`), `use 1 to ${maximumLength} characters without whitespace`)
    .refine(byteText.isEncodable, notEncodable);
}

const notEncodable = 'use no half of a surrogate pair, which cannot be sent as UTF-8';
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use an IPv4 address and a port, for example 127.0.0.1:7101');

/** The kinds of statements of the HTTP protocol. A row defines for each kind which members serve it. */
export const statementKinds = ['write', 'leader-read', 'bounded-read', 'own-read'] as const;
export type StatementKind = (typeof statementKinds)[number];

/** A database process that holds a replica of its service's data. */
const memberSchema = z.strictObject({
  member: name,
  area: name,
  address,
  state: z.enum(['serving', 'draining']).default('serving'),
});

/** A database that is replicated over members, one of which is the leader. */
const serviceSchema = z.strictObject({
  service: name,
  connectionLimit: z.number().int().min(1).max(100_000),
  members: z.array(memberSchema).max(99).default([]),
  /** Whether members register by their heartbeats; the configuration lists none then (design 4.7). */
  registered: z.boolean().default(false),
  /** Number of replicas that must store a commit before the leader replies. */
  synchronousReplicas: z.number().int().min(0).max(9).default(0),
});

/** How one service serves one area: the members for each kind of statement, their weights, and how stale a read may be. */
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
  /** Number of queued statements at which an edge rejects further ones as overloaded. */
  mostWaiting: z.number().int().min(1).max(100_000).default(400),
});

/** A client key of the HTTP protocol, with the services and kinds of statements that it permits. */
const keySchema = z.strictObject({
  key: z.string().min(8, 'use at least 8 characters').max(200).refine(byteText.isEncodable, notEncodable),
  services: z.array(name).min(1),
  kinds: z
    .array(z.enum(statementKinds))
    .min(1)
    .default([...statementKinds]),
});

/** A named statement, which clients execute by its name (design 8.7). */
const mappingSchema = z.strictObject({
  mapping: name,
  service: name,
  kind: z.enum(statementKinds),
  text: z.string().min(1).max(65_536),
});

/** A database that clients of the session protocol open by name, and how its reads and writes are routed (design 8.10). */
const databaseSchema = z.strictObject({
  database: word(253),
  service: name,
  reads: z.enum(['leader', 'bounded', 'own']),
  staleMilliseconds: z.number().int().min(0).max(600_000).default(0),
  /** Deadline of a statement, from its arrival. */
  horizonMilliseconds: z.number().int().min(1).max(600_000),
  /** Latency target of a statement. */
  aimMilliseconds: z.number().int().min(1).max(600_000).default(1_000),
  /** Queued statements of a database with a lower rank are served first. */
  rank: z.number().int().min(0).max(1_000).default(0),
  /** Whether clients may connect without a key. */
  open: z.boolean().default(false),
});

/** A tenant, with its keys of the session protocol. */
const tenantSchema = z.strictObject({
  tenant: word(200),
  keys: z.array(word(200)).max(1_000),
  rank: z.number().int().min(0).max(1_000).default(0),
});

export const weekdays = ['sunday', 'monday', 'tuesday', 'wednesday', 'thursday', 'friday', 'saturday'] as const;

/** A weekly window. */
const weeklySchema = z.strictObject({
  day: z.enum(weekdays),
  /** Minutes since the start of that day, in UTC; a window past midnight ends after 1440. */
  from: z.number().int().min(0).max(1_439),
  to: z.number().int().min(1).max(2_880),
});

/** A statement that is sent to members on one line. */
const statementText = z
  .string()
  .regex(/^[^\r\n]{1,65536}$/, 'use 1 to 65536 characters on one line')
  .refine(byteText.isEncodable, notEncodable);

/** Announced windows in which a site has no uplink, and the data that its edges copy to serve reads meanwhile (design 8.13). */
const outageSchema = z.strictObject({
  site: name,
  nodes: z.array(name).min(1).max(99),
  databases: z.array(z.string()).min(1).max(1_000),
  from: z.iso.datetime().optional(),
  to: z.iso.datetime().optional(),
  weekly: z.array(weeklySchema).max(50).default([]),
  /** How long before a window the data is copied. */
  holdMilliseconds: z.number().int().min(1_000).max(86_400_000).default(600_000),
  /** Maximum size of the data that an edge copies for one window. */
  mostBytes: z.number().int().min(1_024).max(67_108_864).default(16_777_216),
  /** Reads to be copied even if no client has sent them. */
  things: z
    .array(z.strictObject({ database: z.string(), tenant: z.string(), text: statementText }))
    .max(5_000)
    .default([]),
});

/** Limits of the session protocol. */
const boundsSchema = z.strictObject({
  /** How long a transaction may be idle before it may be aborted. */
  restMilliseconds: z.number().int().min(1).max(600_000).default(5_000),
  messageBytes: z.number().int().min(1_024).max(1_048_576).default(1_048_576),
});

export const placementSchema = z.strictObject({
  services: z.array(serviceSchema).max(500),
  rows: z.array(rowSchema).max(5_000),
  keys: z.array(keySchema).max(10_000),
  mappings: z.array(mappingSchema).max(5_000).default([]),
  databases: z.array(databaseSchema).max(20_000).default([]),
  tenants: z.array(tenantSchema).max(10_000).default([]),
  /** Optional without a default, so that a configuration without outages keeps the same bytes as before outages existed. */
  outages: z.array(outageSchema).max(500).optional(),
  bounds: boundsSchema.default({ restMilliseconds: 5_000, messageBytes: 1_048_576 }),
});

/** A complete placement configuration, in the form in which it is sent, stored and applied. */
export type PlacementConfiguration = z.infer<typeof placementSchema>;
export type ServicePlacement = PlacementConfiguration['services'][number];
export type MemberPlacement = ServicePlacement['members'][number];
export type PlacementRow = PlacementConfiguration['rows'][number];
export type NamedStatement = PlacementConfiguration['mappings'][number];
export type ClientKey = PlacementConfiguration['keys'][number];
export type DatabasePlacement = PlacementConfiguration['databases'][number];
export type Tenant = PlacementConfiguration['tenants'][number];

/** An announced outage of a site's uplink. */
export type AnnouncedOutage = NonNullable<PlacementConfiguration['outages']>[number];
/** Wall clock times in milliseconds since 1970; `to` is exclusive. */
export type OutageWindow = Readonly<{ from: number; to: number }>;
