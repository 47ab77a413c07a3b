/** The whole schedule of a soak, drawn from its seed ahead of the run: series of signals, losses, members and orders that overlap. */

/** What is done at a moment. `edge` and `member` are places in the lists of the fleet, counted from 0; `core` is the place of a seat. */
export type SoakAction =
  | Readonly<{ kind: 'edge-terminated'; edge: number }>
  | Readonly<{ kind: 'edge-killed'; edge: number; parts: 'agent' | 'proxy' | 'both' }>
  | Readonly<{ kind: 'edge-frozen'; edge: number; parts: 'agent' | 'proxy' | 'both'; milliseconds: number }>
  | Readonly<{ kind: 'all-edges-killed' }>
  | Readonly<{ kind: 'hang-up' }>
  | Readonly<{ kind: 'core-killed'; core: number; milliseconds: number }>
  | Readonly<{ kind: 'core-frozen'; core: number; milliseconds: number }>
  | Readonly<{ kind: 'core-terminated'; core: number; milliseconds: number }>
  | Readonly<{ kind: 'core-replaced'; core: number }>
  | Readonly<{ kind: 'core-disk'; core: number; fault: 'slow' | 'full'; milliseconds: number }>
  | Readonly<{ kind: 'all-cores-killed'; milliseconds: number }>
  | Readonly<{ kind: 'member-drained'; member: number }>
  | Readonly<{ kind: 'member-killed'; member: number; milliseconds: number }>
  | Readonly<{ kind: 'primary-killed'; service: number; milliseconds: number }>
  | Readonly<{ kind: 'order'; core: number; changesKey: boolean }>
  | Readonly<{ kind: 'invalid-order'; core: number }>
  | Readonly<{ kind: 'replies-lost'; share: number; milliseconds: number }>;

export type SoakEvent = Readonly<{ at: number; action: SoakAction }>;
export type SoakSizes = Readonly<{ milliseconds: number; edges: number; cores: number; members: number; services: number }>;

type Fraction = () => number;
type Series = (draw: Draw, sizes: SoakSizes) => readonly SoakEvent[];

type Draw = Readonly<{
  between: (least: number, most: number) => number;
  below: (count: number) => number;
  chance: (share: number) => boolean;
  pick: <Item>(items: readonly Item[]) => Item;
}>;

const parts = ['agent', 'proxy', 'both'] as const;
/** A core counts as lost until so long after it is back; the next is lost after that. */
const coreSettleMilliseconds = 7_000;
const leastGapMilliseconds = 100;
const mostGapMilliseconds = 300;
/** Trouble ends so long before the end of the schedule. */
const quietEndMilliseconds = 4_000;

/** A generator of its own (mulberry32): the same seed gives the same schedule on every machine. */
function fractionOf(seed: number): Fraction {
  let state = seed >>> 0;
  return function fraction() {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function drawFrom(fraction: Fraction): Draw {
  function below(count: number): number {
    return Math.floor(fraction() * count);
  }
  return {
    between: (least, most) => Math.round(least + fraction() * (most - least)),
    below,
    chance: (share) => fraction() < share,
    pick: (items) => items[below(items.length)] as (typeof items)[number],
  };
}

/** Events one after the other until the trouble is to end; `next` says what comes, and how long after it the next does. */
function series(
  from: number,
  { milliseconds }: SoakSizes,
  next: () => Readonly<{ action: SoakAction; pause: number }>,
): readonly SoakEvent[] {
  const events: SoakEvent[] = [];
  let at = from;
  while (at < milliseconds - quietEndMilliseconds) {
    const { action, pause } = next();
    events.push({ at, action });
    at += pause;
  }
  return events;
}

/** Every edge in turn, each soon after the one before it, over and over. */
function rollingRestarts(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  const pause = draw.between(1_500, 6_000);
  let edge = draw.below(sizes.edges);
  return series(draw.between(500, 6_000), sizes, function next() {
    edge = (edge + 1) % sizes.edges;
    return { action: { kind: 'edge-terminated', edge }, pause };
  });
}

function killsAndFreezes(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  return series(draw.between(1_000, 5_000), sizes, function next() {
    const edge = draw.below(sizes.edges);
    const pause = draw.between(700, 7_000);
    if (draw.chance(0.1)) return { action: { kind: 'all-edges-killed' }, pause: pause + 5_000 };
    if (draw.chance(0.5)) return { action: { kind: 'edge-killed', edge, parts: draw.pick(parts) }, pause };
    return { action: { kind: 'edge-frozen', edge, parts: draw.pick(parts), milliseconds: draw.between(200, 6_000) }, pause };
  });
}

function hangUps(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  return series(draw.between(500, 4_000), sizes, () => ({ action: { kind: 'hang-up' }, pause: draw.between(400, 5_000) }));
}

/** One core at a time is lost, whatever else goes on. */
function coreLosses(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  return series(draw.between(1_500, 6_000), sizes, function next() {
    const core = draw.below(sizes.cores);
    const milliseconds = draw.between(500, 8_000);
    const pause = milliseconds + coreSettleMilliseconds;
    const kind = draw.pick(['core-killed', 'core-frozen', 'core-terminated', 'core-replaced', 'core-disk', 'all-cores-killed'] as const);
    if (kind === 'core-replaced') return { action: { kind, core }, pause: 2 * coreSettleMilliseconds };
    if (kind === 'core-disk') return { action: { kind, core, fault: draw.pick(['slow', 'full'] as const), milliseconds }, pause };
    if (kind === 'all-cores-killed') return { action: { kind, milliseconds: draw.between(300, 1_500) }, pause: 2 * coreSettleMilliseconds };
    return { action: { kind, core, milliseconds }, pause };
  });
}

function memberChanges(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  return series(draw.between(2_000, 8_000), sizes, function next() {
    const pause = draw.between(9_000, 16_000);
    const milliseconds = draw.between(1_000, 9_000);
    if (draw.chance(0.3)) return { action: { kind: 'primary-killed', service: draw.below(sizes.services), milliseconds }, pause };
    if (draw.chance(0.4)) return { action: { kind: 'member-drained', member: draw.below(sizes.members) }, pause };
    return { action: { kind: 'member-killed', member: draw.below(sizes.members), milliseconds }, pause };
  });
}

/** Several a second from the beginning to the end, by two operators; now and then one that is invalid. */
function orders(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  const gap = draw.between(leastGapMilliseconds, mostGapMilliseconds);
  return series(300, sizes, function next() {
    const core = draw.below(sizes.cores);
    const pause = draw.chance(0.15) ? 0 : gap;
    if (draw.chance(0.05)) return { action: { kind: 'invalid-order', core }, pause };
    return { action: { kind: 'order', core, changesKey: draw.chance(0.06) }, pause };
  });
}

function lostReplies(draw: Draw, sizes: SoakSizes): readonly SoakEvent[] {
  return series(draw.between(3_000, 12_000), sizes, function next() {
    const milliseconds = draw.between(1_000, 4_000);
    return { action: { kind: 'replies-lost', share: 0.5, milliseconds }, pause: milliseconds + draw.between(4_000, 12_000) };
  });
}

/** Orders go on in every soak; of the other series some, so that soaks differ. */
const optional: readonly Series[] = [rollingRestarts, killsAndFreezes, hangUps, coreLosses, memberChanges, lostReplies];
const seriesShare = 0.65;

/** @returns the events in the order of their moments, in milliseconds from the start of trouble */
function draw(seed: number, sizes: SoakSizes): readonly SoakEvent[] {
  const drawn = drawFrom(fractionOf(seed));
  const chosen = optional.filter(() => drawn.chance(seriesShare));
  const events = [orders, ...(chosen.length > 0 ? chosen : [coreLosses])].flatMap((one) => one(drawn, sizes));
  return events.sort((left, right) => left.at - right.at);
}

function describe({ at, action }: SoakEvent): string {
  const { kind, ...fields } = action;
  const shown = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
  return [String(at).padStart(6), kind, ...shown].join(' ');
}

export const soakSchedule = { draw, describe } as const;
