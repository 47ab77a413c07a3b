// What this system's own processes say to each other: typebox schemas over JSON (design 3).
import { DifferenceSchema } from './differences.js';
import { Type, type Static, type TSchema } from '@sinclair/typebox';
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler';

const Count = Type.Integer({ minimum: 0 });
const Name = Type.String({ minLength: 1, maxLength: 200 });
const Moment = Type.Number();

export const BallotSchema = Type.Readonly(Type.Object({ counter: Count, node: Type.String({ maxLength: 200 }) }));
export type Ballot = Readonly<Static<typeof BallotSchema>>;

/** `after`: the ballot of the entry that this one succeeded, where earlier versions are kept (design 5.4). */
export const EntrySchema = Type.Object({ ballot: BallotSchema, version: Count, value: Type.Unknown(), after: Type.Optional(BallotSchema) });
export type Entry = Readonly<Static<typeof EntrySchema>>;

export const NodeRoleSchema = Type.Union([Type.Literal('core'), Type.Literal('edge')]);
export type NodeRole = Static<typeof NodeRoleSchema>;

export const SeatSchema = Type.Object({
  node: Name,
  role: NodeRoleSchema,
  area: Name,
  address: Name,
  outward: Name,
  draining: Type.Boolean(),
  /** Which disk the core has, where the set of cores changes by itself; a core of the first set that never lost its disk has none (design 4.8). */
  disk: Type.Optional(Type.String({ maxLength: 100 })),
});
export type Seat = Readonly<Static<typeof SeatSchema>>;

const ServiceCounts = Type.Record(Type.String({ maxLength: 200 }), Count);

/** `epochs` is the barrier of design 4.2: the highest epochs voted before this version of the table was made. */
export const MembershipSchema = Type.Object({ seats: Type.Array(SeatSchema, { maxItems: 1000 }), epochs: ServiceCounts });
export type Membership = Readonly<{ seats: readonly Seat[]; epochs: Readonly<Record<string, number>> }>;

/**
 * The set of cores, in its order of steps: the first has number 1, each step changes the occupant of one seat (design 4.8). `epochs` is the
 * barrier of design 4.2. Number 0 stands for a set that never changes.
 */
export const CoreSetSchema = Type.Object({ number: Count, seats: Type.Array(SeatSchema, { maxItems: 100 }), epochs: ServiceCounts });
export type CoreSet = Readonly<Static<typeof CoreSetSchema>>;
const SetNumber = Type.Optional(Count);
const NewerSet = Type.Optional(CoreSetSchema);

export const ElectedPrimarySchema = Type.Object({
  epoch: Count,
  primary: Name,
  wonBy: Name,
  position: Count,
  settledAt: Moment,
});
export type ElectedPrimary = Readonly<Static<typeof ElectedPrimarySchema>>;

const HelloAsk = Type.Object({ seat: SeatSchema, incarnation: Count, fleet: Type.String({ maxLength: 200 }) });
const HelloReply = Type.Object({
  node: Name,
  role: NodeRoleSchema,
  incarnation: Count,
  fleet: Type.String({ maxLength: 200 }),
  founding: Type.String({ maxLength: 200 }),
  cores: Type.Array(SeatSchema, { maxItems: 100 }),
  /** The most puts this node has heard that the asking core's disk had taken. */
  knownPuts: Count,
  superseded: Type.Boolean(),
  /** The set of cores that the sender stands at, where it may change (design 4.8). */
  set: NewerSet,
});

const FormAsk = Type.Object({
  step: Type.Union([Type.Literal('propose'), Type.Literal('formed')]),
  fleet: Name,
  cores: Type.Array(SeatSchema, { maxItems: 100 }),
});
const FormReply = Type.Object({ agreed: Type.Boolean() });

/** How far a service's acknowledged commits reach: the highest epoch goes first, then the highest position (design 7.5). */
export const DurableWatermarkSchema = Type.Object({ epoch: Count, position: Count });
export type DurableWatermark = Readonly<Static<typeof DurableWatermarkSchema>>;
const DurableWatermarks = Type.Record(Type.String({ maxLength: 200 }), DurableWatermarkSchema);
export type DurableWatermarks = Readonly<Record<string, DurableWatermark>>;

export const UsageReportSchema = Type.Object({
  node: Name,
  /** The proxy process that counted: a restart counts from nothing, under another name. */
  incarnation: Name,
  /** Of two tellings of one process the later goes. */
  number: Count,
  window: Count,
  counts: ServiceCounts,
});
export type UsageReport = Readonly<Static<typeof UsageReportSchema>>;

/** What an edge has a core's disk keep before it replies (design 7.5, 8.6). `through`: up to which wall time each edge has told all it counted. */
const NoteAsk = Type.Object({
  floors: DurableWatermarks,
  reports: Type.Array(UsageReportSchema, { maxItems: 10_000 }),
  through: Type.Record(Type.String({ maxLength: 200 }), Moment),
  set: SetNumber,
});
const NoteReply = Type.Object({ ready: Type.Boolean(), floors: DurableWatermarks, newer: NewerSet });

/** A page of what a disk holds, after the key that ended the page before it; `next` is empty on the last (design 4.3). */
const CopyAsk = Type.Object({ after: Type.String({ maxLength: 400 }) });
const CopyReply = Type.Object({
  ready: Type.Boolean(),
  /** The highest epoch for each service that this core, or any edge by its cells, has voted for. */
  votes: ServiceCounts,
  notes: NoteAsk,
  entries: Type.Array(Type.Object({ key: Name, state: Type.Unknown() })),
  next: Type.String({ maxLength: 400 }),
  /** The set that this core stood at before the page was read. */
  set: SetNumber,
});

/** Asks a core to stand at a set, on its disk; one that stands at a later set tells it (design 4.8). */
const AdoptAsk = Type.Object({ fleet: Name, set: CoreSetSchema });
const AdoptReply = Type.Object({
  adopted: Type.Boolean(),
  newer: NewerSet,
  /** Cores of its set that it has not heard for so long that their seats are vacant. */
  silent: Type.Array(Name, { maxItems: 100 }),
});

/** Where the set of cores changes by itself, the reply tells the set that the asked core stands at (design 4.8). */
const JoinAsk = Type.Object({ seat: SeatSchema });
const JoinReply = Type.Object({ joined: Type.Boolean(), reason: Type.String({ maxLength: 300 }), set: NewerSet });

const BeatAsk = Type.Object({
  node: Name,
  incarnation: Count,
  epochs: ServiceCounts,
  caps: ServiceCounts,
  membership: Count,
});
const BeatReply = Type.Object({ epochs: ServiceCounts, caps: ServiceCounts, membership: Count, superseded: Type.Boolean() });

const ProposeAsk = Type.Object({
  service: Name,
  epoch: Count,
  candidate: Name,
  position: Count,
  node: Name,
  membership: Count,
});
/** `lessees`: edges that this node granted a lease within a term and its margin. */
const ProposeReply = Type.Object({
  accepted: Type.Boolean(),
  reason: Type.String({ maxLength: 300 }),
  epoch: Count,
  lessees: Type.Optional(Type.Array(Name, { maxItems: 20_000 })),
});

/** `set`: the number of the set that the proposer counts majorities of; an acceptor at another gives no answer (design 4.8). */
const RegisterAsk = Type.Object({ key: Name, ballot: BallotSchema, set: SetNumber, holds: Type.Optional(BallotSchema) });
/** `holds`: the ballot whose entry the asker has already; a reply leaves that entry out (design 5.7). */
const LookAsk = Type.Object({ key: Name, set: SetNumber, holds: Type.Optional(BallotSchema) });
/** What a value differs by from another: pieces of its text, compressed against the other's, and the digest of the whole. */
export const ValueDifferenceSchema = Type.Object({
  pieces: Type.Array(Type.String({ maxLength: 64 * 1024 }), { maxItems: 1_000 }),
  digest: Type.String({ maxLength: 100 }),
});
export type ValueDifference = Readonly<Static<typeof ValueDifferenceSchema>>;
/** With `base`, the entry's value is left out: it differs so from what the acceptor holds under that ballot (design 5.7). */
const AcceptAsk = Type.Object({
  key: Name,
  entry: EntrySchema,
  set: SetNumber,
  base: Type.Optional(Type.Object({ ballot: BallotSchema, difference: ValueDifferenceSchema })),
});
const RegisterReply = Type.Object({
  ready: Type.Boolean(),
  agreed: Type.Boolean(),
  promised: BallotSchema,
  /** Null as well in replies to `accept`, and where it is the entry that the asker holds. */
  accepted: Type.Union([EntrySchema, Type.Null()]),
  /** The accepted entry is the one that the asker holds. */
  held: Type.Optional(Type.Boolean()),
  /** The difference did not fit: the whole entry is asked for. */
  whole: Type.Optional(Type.Boolean()),
  newer: NewerSet,
});

/** The ballot of the newest configuration whose content is known here; left out by whoever takes contents whole alone (design 5.6). */
const Holds = Type.Optional(BallotSchema);

const WatchAsk = Type.Object({
  node: Name,
  incarnation: Count,
  acknowledged: Count,
  obeyed: Count,
  /** False where contents are known without this core's handing them over: to another core (design 5.6). */
  content: Type.Optional(Type.Boolean()),
  holds: Holds,
});
const WatchReply = Type.Object({
  ready: Type.Boolean(),
  number: Count,
  configuration: Count,
  membership: Count,
  puts: Count,
  superseded: Type.Boolean(),
});

/** An earlier version of the configuration, its content compressed (design 5.4). */
export const EarlierVersionSchema = Type.Object({
  version: Count,
  sentBy: Type.String({ maxLength: 200 }),
  sentAt: Moment,
  content: Type.String(),
});
export type EarlierVersion = Readonly<Static<typeof EarlierVersionSchema>>;
const EarlierAsk = Type.Object({ versions: Type.Array(Count, { maxItems: 100 }) });
/** As many of the versions asked for as are kept and a reply may hold. */
const EarlierReply = Type.Object({ found: Type.Array(EarlierVersionSchema, { maxItems: 100 }) });

const UsageLook = Type.Object({ window: Count });
const UsageLookReply = Type.Object({ ready: Type.Boolean(), reports: NoteAsk.properties.reports, through: NoteAsk.properties.through });

/** What is known of a member that registers by its beats (design 4.7). */
export const MemberRecordSchema = Type.Object({
  member: Name,
  service: Name,
  address: Name,
  area: Name,
  draining: Type.Boolean(),
  role: Type.Union([Type.Literal('primary'), Type.Literal('replica')]),
  /** How many statements it runs at once. */
  slots: Count,
  /** Rises with each beat of this member, so that a late one is known. */
  sequence: Count,
  /** It has left; the id never comes back. */
  gone: Type.Boolean(),
  /** Unheard for so long as to be DOWN (design 7.1). */
  down: Type.Boolean(),
});
export type MemberRecord = Readonly<Static<typeof MemberRecordSchema>>;
const MemberRecords = Type.Array(MemberRecordSchema, { maxItems: 20_000 });

/** Between cores: beats that the sender took itself, and how long ago (design 4.7). */
const SpreadAsk = Type.Object({ beats: Type.Array(Type.Object({ entry: MemberRecordSchema, ago: Type.Number() }), { maxItems: 20_000 }) });
const SpreadReply = Type.Object({ taken: Type.Boolean() });

/** A position in a member's log: the log's term and the number in it. */
export const LogPositionSchema = Type.Object({ term: Count, number: Count });
export type LogPosition = Readonly<Static<typeof LogPositionSchema>>;
const LogPositions = Type.Record(Type.String({ maxLength: 200 }), LogPositionSchema);

/** A position that covers whatever was acknowledged up to so many milliseconds ago (design 8.11). */
const CommitWatermarks = Type.Record(
  Type.String({ maxLength: 200 }),
  Type.Object({ term: Count, number: Count, ago: Type.Number({ minimum: 0 }) }),
);
export type CommitWatermarks = Readonly<Static<typeof CommitWatermarks>>;

/** An edge asks each core for its lease; the core replies at once with news, or at the latest after `hold` (design 7.12). */
const LeaseAsk = Type.Object({
  node: Name,
  area: Name,
  /** Of the news of this core: the process it ran as, and the number reached. */
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  hold: Type.Number({ minimum: 0, maximum: 10_000 }),
  acknowledged: Count,
  obeyed: Count,
  /** For a service: below this epoch the edge has nothing under way and takes no lease any more. */
  released: ServiceCounts,
  /** How far this edge has seen each leader's log reach, and as of when; `LogPositions` are the commits its senders were told of. */
  marks: CommitWatermarks,
  positions: LogPositions,
  /** How long ago, at the most, `positions` was all there was to tell. */
  positionsAgo: Type.Number({ minimum: 0 }),
  /** Members whose machines refused a connection of this edge. */
  notListening: Type.Array(Name, { maxItems: 1_000 }),
  set: SetNumber,
  /** Statements a second by now, smoothed. */
  demand: Type.Number({ minimum: 0 }),
  /** Whether configurations are to be handed over whole by this core; the others tell that there is one (design 5.6). */
  content: Type.Boolean(),
  holds: Holds,
});
const LeaseReply = Type.Object({
  set: SetNumber,
  newer: NewerSet,
  ready: Type.Boolean(),
  /** For how long this core held the question: what it says was so at least this much after the question left. */
  held: Type.Number({ minimum: 0 }),
  token: Type.String({ maxLength: 100 }),
  number: Count,
  /** The epoch this core stands at for each service, where it has changed since `seen`; all of them when `whole`. */
  stances: ServiceCounts,
  configuration: Count,
  membership: Count,
  puts: Count,
  /** What has changed in the roster since `seen`; all of it when `whole`. */
  roster: MemberRecords,
  whole: Type.Boolean(),
  /** How many edges hold leases here, by area. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  /** What is asked of all of them, by area. */
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  /** A leader is missing somewhere: edges are to tell marks and positions, which nobody needs otherwise. */
  wants: Type.Boolean(),
  /** What all edges together have seen. */
  marks: CommitWatermarks,
});

/** What a proxy is fed of placement (design 8.10). */
export const PlacementSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** Milliseconds of lease left when the agent replied. */
  left: Type.Number(),
  /** Below this epoch nothing may be under way any more: above `epoch` while a change of primary is under way. */
  release: Count,
});
export type Placement = Readonly<Static<typeof PlacementSchema>>;
const PlacementAsk = Type.Object({
  token: Type.String({ maxLength: 100 }),
  seen: Count,
  /** Of the latest reply that had come before this was asked: what is told here is no older than that reply. */
  serial: Count,
  hold: Type.Number({ minimum: 0, maximum: 10_000 }),
  configuration: Count,
  released: ServiceCounts,
  positions: LogPositions,
  marks: CommitWatermarks,
  notListening: Type.Array(Name, { maxItems: 1_000 }),
  demand: Type.Number({ minimum: 0 }),
  metrics: Type.Record(Type.String({ maxLength: 100 }), Type.Number()),
});
const PlacementReply = Type.Object({
  token: Type.String({ maxLength: 100 }),
  number: Count,
  serial: Count,
  /** For how long the agent held the question. */
  held: Type.Number({ minimum: 0 }),
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  services: Type.Array(PlacementSchema, { maxItems: 20_000 }),
  /** The whole roster, or null where it is as it was at `seen`. */
  roster: Type.Union([MemberRecords, Type.Null()]),
  /** How many edges hold leases, by area. */
  edges: Type.Record(Type.String({ maxLength: 200 }), Count),
  demand: Type.Record(Type.String({ maxLength: 200 }), Type.Number({ minimum: 0 })),
  marks: CommitWatermarks,
  area: Name,
  node: Name,
});

const StatusReply = Type.Object({ status: Type.Unknown() });
const Empty = Type.Object({});

export const TargetSchema = Type.Object({
  member: Name,
  alive: Type.Boolean(),
  /** How long ago, at the least, the state this member has applied was the primary's; -1: not known. */
  freshAgo: Type.Number(),
  applied: Count,
  follows: Count,
});
export type Target = Readonly<Static<typeof TargetSchema>>;

export const ServiceFeedSchema = Type.Object({
  service: Name,
  epoch: Count,
  primary: Type.String({ maxLength: 200 }),
  /** Milliseconds of fence term left when the agent replied. */
  fence: Type.Number(),
  targets: Type.Array(TargetSchema, { maxItems: 1000 }),
});
export type ServiceFeed = Readonly<Static<typeof ServiceFeedSchema>>;

const FeedAsk = Type.Object({
  configuration: Count,
  /** The most connections this proxy holds to any one member of a service. */
  open: ServiceCounts,
  /** What this proxy has counted since it began, for whoever asks its agent. */
  metrics: Type.Record(Type.String({ maxLength: 100 }), Type.Number()),
});
/** What a proxy has its agent note on the core disks; `kept` once a majority of them has synced it. */
const TellAsk = Type.Object({
  number: Count,
  floors: DurableWatermarks,
  usage: Type.Array(Type.Object({ window: Count, counts: ServiceCounts }), { maxItems: 20 }),
  /** The wall time of this machine at which `usage` held all that was counted. */
  through: Moment,
  incarnation: Name,
});
const TellReply = Type.Object({ kept: Type.Boolean() });
const FeedReply = Type.Object({
  configuration: Type.Union([Type.Object({ version: Count, sheet: Type.Unknown() }), Type.Null()]),
  configurationVersion: Count,
  /** Milliseconds of configuration term left when the agent replied. */
  term: Type.Number(),
  services: Type.Array(ServiceFeedSchema, { maxItems: 1000 }),
  /** The most connections this proxy may hold to each member of a service. */
  shares: ServiceCounts,
  draining: Type.Boolean(),
  area: Name,
  node: Name,
});

export const messages = {
  hello: { ask: HelloAsk, reply: HelloReply },
  form: { ask: FormAsk, reply: FormReply },
  copy: { ask: CopyAsk, reply: CopyReply },
  join: { ask: JoinAsk, reply: JoinReply },
  beat: { ask: BeatAsk, reply: BeatReply },
  propose: { ask: ProposeAsk, reply: ProposeReply },
  prepare: { ask: RegisterAsk, reply: RegisterReply },
  accept: { ask: AcceptAsk, reply: RegisterReply },
  look: { ask: LookAsk, reply: RegisterReply },
  adopt: { ask: AdoptAsk, reply: AdoptReply },
  watch: { ask: WatchAsk, reply: WatchReply },
  note: { ask: NoteAsk, reply: NoteReply },
  earlier: { ask: EarlierAsk, reply: EarlierReply },
  usageLook: { ask: UsageLook, reply: UsageLookReply },
  tell: { ask: TellAsk, reply: TellReply },
  status: { ask: Empty, reply: StatusReply },
  feed: { ask: FeedAsk, reply: FeedReply },
  spread: { ask: SpreadAsk, reply: SpreadReply },
  lease: { ask: LeaseAsk, reply: LeaseReply },
  placement: { ask: PlacementAsk, reply: PlacementReply },
} as const;

export type MessageKind = keyof typeof messages;
export type Request<Kind extends MessageKind> = Readonly<Static<(typeof messages)[Kind]['ask']>>;
export type Reply<Kind extends MessageKind> = Readonly<Static<(typeof messages)[Kind]['reply']>>;

/** Numbered changes a core pushes down held links (design 5.2). */
export const ChangeSchema = Type.Object({
  number: Count,
  key: Name,
  entry: EntrySchema,
  set: SetNumber,
  /** In place of the content: what makes it of the one under another ballot, which whoever is told said it holds (design 5.6). */
  differs: Type.Optional(Type.Object({ from: BallotSchema, all: Type.Array(DifferenceSchema) })),
});
export type Change = Readonly<Static<typeof ChangeSchema>>;

/** The first frame of each side: the versions it speaks; the highest that both speak is used (design 3.5). */
export const GreetSchema = Type.Object({ greet: Type.Object({ from: Count, to: Count }) });

export const FrameSchema = Type.Union([
  Type.Object({ call: Count, kind: Name, body: Type.Unknown() }),
  Type.Object({ reply: Count, body: Type.Unknown() }),
  Type.Object({ deny: Count, reason: Type.String() }),
  Type.Object({ change: ChangeSchema }),
]);
export type Frame = Readonly<Static<typeof FrameSchema>>;

const compiled = new Map<TSchema, TypeCheck<TSchema>>();

function matches<Schema extends TSchema>(schema: Schema, value: unknown): value is Static<Schema> {
  let check = compiled.get(schema);
  if (check === undefined) {
    check = TypeCompiler.Compile(schema);
    compiled.set(schema, check);
  }
  return check.Check(value);
}

function isKind(kind: string): kind is MessageKind {
  return Object.hasOwn(messages, kind);
}

/** Orders ballots: the counter first, then the proposer's name. */
function compareBallots(left: Ballot, right: Ballot): number {
  if (left.counter !== right.counter) return left.counter - right.counter;
  return left.node === right.node ? 0 : left.node < right.node ? -1 : 1;
}

/** The epoch first, then the position. */
function compareWatermarks(left: DurableWatermark, right: DurableWatermark): number {
  return left.epoch === right.epoch ? left.position - right.position : left.epoch - right.epoch;
}

/** Whether every one of these floors is reached by those known. */
function covers(known: DurableWatermarks, floors: DurableWatermarks): boolean {
  return Object.entries(floors).every(function reached([service, floor]) {
    const standing = known[service];
    return standing !== undefined && compareWatermarks(standing, floor) >= 0;
  });
}

function maxWatermarks(left: DurableWatermarks, right: DurableWatermarks): DurableWatermarks {
  const merged: Record<string, DurableWatermark> = { ...left };
  for (const [service, floor] of Object.entries(right)) {
    const known = merged[service];
    if (known === undefined || compareWatermarks(known, floor) < 0) merged[service] = floor;
  }
  return merged;
}

export const ballotZero: Ballot = { counter: 0, node: '' };

export const message = { matches, isKind, compareBallots, compareWatermarks, covers, maxWatermarks } as const;

export { differences, type Difference } from './differences.js';
