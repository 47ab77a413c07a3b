/** Copies of reads that an edge holds through an announced outage of its site's uplink (design 8.13). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import { placements, type AnnouncedOutage } from '@stallstall/placement';
import type { StatementReply } from '@stallstall/session-protocol';
import { outageCopies, outageGraceMilliseconds, type OutageCopies, type RememberedRead } from './outage-copies.js';
import { sessions } from './sessions.js';
import type { StatementRequest } from './statement-request.js';
import type { View } from './view.js';

export type Copies = Readonly<{
  /** The configuration may have changed. */
  follow: () => void;
  /** A session was replied to: its read is remembered while an outage is ahead. */
  note: (request: StatementRequest, replied: StatementReply) => void;
  /** Whether the window of an outage that covers the request is open. */
  open: (request: StatementRequest) => boolean;
  /** The copy for a request, if one is held and the window is open. */
  reply: (request: StatementRequest) => Option.Option<StatementReply>;
  describe: () => Readonly<{ remembered: number; held: number; bytes: number }>;
  stop: () => void;
}>;

type State = {
  readonly runtime: Runtime;
  readonly view: () => View;
  /** Reads from a member like any statement: placed, paced and within the bounds of its tenant. */
  readonly readFromMember: (request: StatementRequest) => Promise<StatementReply>;
  /** One for each window that is ahead or open. */
  windows: readonly OutageCopies[];
  /** Those of the configuration that name this edge. */
  outages: readonly AnnouncedOutage[];
  /** The configuration that `outages` is of. */
  version: number;
  running: boolean;
  stopped: boolean;
};

/** Reads are remembered from so long before a window. */
const aheadMilliseconds = 86_400_000;
const tickMilliseconds = 500;
/** One read at a time, and a pause after each: members hardly feel it. */
const paceMilliseconds = 20;
/** Conditions that would be the same if the read was tried again. */
const permanentConditions: ReadonlySet<string> = new Set(['undefined', 'malformed', 'denied', 'no-database', 'oversize']);

function logNotHeld({ runtime }: State, held: OutageCopies, database: string, tenant: string, reason: string): void {
  runtime.log('copy.not-held', { site: held.outage.site, database, tenant, reason });
}

/** Remembers the reads that the operators named themselves. */
function rememberNamed(state: State, held: OutageCopies): void {
  const known = state.view();
  for (const { database: named, tenant, text } of held.outage.things) {
    const database = known.databases.get(named);
    const key = [...known.tenants].find(([, one]) => one.tenant === tenant)?.[0];
    if (database === undefined || key === undefined || database.reads === 'leader')
      logNotHeld(state, held, named, tenant, 'the tenant has no key, or its reads need the leader');
    else {
      const session = sessions.create('copy', named, key);
      outageCopies.remember(held, outageCopies.copyingRead(session, { text, prepared: Option.none, database, tenant }));
    }
  }
}

function isToBeFilled(state: State, held: OutageCopies): boolean {
  return !state.stopped && state.windows.includes(held) && outageCopies.isToBeFilled(held, state.runtime.clock.wall());
}

type Filled = 'tried' | 'failed' | 'too-late';

/** Reads once more what a session was served, and holds a copy of the reply. */
async function fillOne(state: State, held: OutageCopies, key: string, remembered: RememberedRead): Promise<Filled> {
  const { read } = remembered;
  const database = state.view().databases.get(read.database.database);
  const copiedAt = identifiers.wallTime(Math.floor(state.runtime.clock.wall()));
  const replied = database === undefined ? undefined : await state.readFromMember({ ...read, database });
  if (!isToBeFilled(state, held)) return 'too-late';
  if (database === undefined || replied === undefined) {
    logNotHeld(state, held, read.database.database, read.tenant, 'no-database');
    return 'tried';
  }
  const { rows, completion, position } = replied;
  if (completion.kind === 'done') {
    held.copies.set(key, { rows, completion, position, service: database.service, copiedAt });
    if (!held.copies.has(key)) logNotHeld(state, held, read.database.database, read.tenant, 'it is larger than the bound');
    return 'tried';
  }
  if (!permanentConditions.has(completion.condition)) return 'failed';
  logNotHeld(state, held, read.database.database, read.tenant, completion.condition);
  return 'tried';
}

/** Fills the copies of one window, one read after another. What failed is tried again at the next tick. */
async function fill(state: State, held: OutageCopies): Promise<void> {
  held.filling = true;
  let failed = 0;
  // Those used last come last, so that the least used are the first to give way.
  for (const key of [...held.reads.rkeys()]) {
    const remembered = held.reads.peek(key);
    if (remembered === undefined || remembered.tried) continue;
    if (!isToBeFilled(state, held)) break;
    const filled = await fillOne(state, held, key, remembered);
    if (filled === 'too-late') break;
    if (filled === 'tried') remembered.tried = true;
    else failed += 1;
    await state.runtime.clock.sleep(paceMilliseconds);
  }
  if (isToBeFilled(state, held) && failed === 0 && !held.complete && [...held.reads.values()].every((one) => one.tried))
    complete(state, held);
  held.filling = false;
}

function complete({ runtime }: State, held: OutageCopies): void {
  held.complete = true;
  runtime.log('copy.complete', {
    site: held.outage.site,
    reads: held.copies.size,
    bytes: held.copies.calculatedSize,
    gaveWay: held.reads.size - held.copies.size,
  });
}

function logBegin({ runtime }: State, held: OutageCopies): void {
  runtime.log('outage.begin', {
    site: held.outage.site,
    complete: held.complete,
    reads: held.complete ? held.copies.size : 0,
    missing: held.reads.size - held.copies.size,
  });
}

/** The windows of an outage that are ahead or open; those known already keep what they hold. */
function windowsOf(state: State, outage: AnnouncedOutage, before: readonly OutageCopies[]): readonly OutageCopies[] {
  const wall = state.runtime.clock.wall();
  const source = JSON.stringify(outage);
  return placements
    .outageWindows(outage, wall - outageGraceMilliseconds, wall + aheadMilliseconds)
    .map(function known(window): OutageCopies {
      const held = before.find((one) => one.source === source && one.window.from === window.from);
      if (held !== undefined) return held;
      const added = outageCopies.create(outage, source, window);
      rememberNamed(state, added);
      return added;
    });
}

function refresh(state: State): void {
  const { runtime } = state;
  const before = state.windows;
  state.windows = state.outages.flatMap((outage) => windowsOf(state, outage, before));
  for (const gone of before)
    if (!state.windows.includes(gone) && gone.begun) runtime.log('outage.end', { site: gone.outage.site, dropped: gone.copies.size });
  for (const held of state.windows) {
    if (!held.begun && runtime.clock.wall() >= held.window.from) {
      held.begun = true;
      logBegin(state, held);
    }
    if (!held.filling && isToBeFilled(state, held)) void fill(state, held);
  }
}

async function run(state: State): Promise<void> {
  state.running = true;
  while (!state.stopped && state.outages.length > 0) {
    refresh(state);
    await state.runtime.clock.sleep(tickMilliseconds);
  }
  refresh(state);
  state.running = false;
}

function follow(state: State): void {
  const known = state.view();
  if (known.version === state.version) return;
  state.version = known.version;
  const outages = Option.isSome(known.sheet) ? (known.sheet.value.outages ?? []) : [];
  state.outages = outages.filter((outage) => outage.nodes.includes(known.node));
  if (state.outages.length + state.windows.length > 0) refresh(state);
  if (!state.running && state.outages.length > 0) void run(state);
}

function note({ runtime, windows }: State, request: StatementRequest, replied: StatementReply): void {
  if (replied.completion.kind !== 'done' || replied.copiedAt !== undefined) return;
  for (const held of windows)
    if (outageCopies.covers(held, request) && runtime.clock.wall() < held.window.from) outageCopies.remember(held, request);
}

function create(runtime: Runtime, view: () => View, readFromMember: (request: StatementRequest) => Promise<StatementReply>): Copies {
  const state: State = { runtime, view, readFromMember, windows: [], outages: [], version: 0, running: false, stopped: false };

  return {
    follow: () => follow(state),
    note: (request, replied) => note(state, request, replied),
    open: (request) => state.windows.some((held) => outageCopies.covers(held, request) && outageCopies.isOpen(held, runtime.clock.wall())),
    reply: function reply(request) {
      for (const held of state.windows) {
        const copied = outageCopies.reply(held, request, runtime.clock.wall());
        if (Option.isSome(copied)) return copied;
      }
      return Option.none;
    },
    describe: () => ({
      remembered: state.windows.reduce((sum, one) => sum + one.reads.size, 0),
      held: state.windows.reduce((sum, one) => sum + one.copies.size, 0),
      bytes: state.windows.reduce((sum, one) => sum + one.copies.calculatedSize, 0),
    }),
    stop: function stop() {
      state.stopped = true;
    },
  };
}

export const copies = { create } as const;
