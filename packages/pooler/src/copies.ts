// Copies of reads that an edge holds through an announced outage of its site's uplink (design 8.13).
import * as Option from 'fp-ts/lib/Option.js';
import { LRUCache } from 'lru-cache';
import { identifiers, type Kernel, type WallTime } from '@stallstall/kernel';
import { sheets, type OutageWindow, type SheetOutage } from '@stallstall/sheet';
import { positions, type Ending, type Position, type StatementReply } from '@stallstall/statement';
import type { Ask } from './requests.js';
import { sessions } from './sessions.js';
import type { View } from './view.js';

/** A read that a session was served, as it is asked again; `tried` once a member replied to that, whether or not the copy is still held. */
type Remembered = { readonly read: Ask; tried: boolean };

type Copied = Readonly<{ rows: readonly string[]; ending: Ending; position: Option.Option<Position>; service: string; copiedAt: WallTime }>;

/** What is held for one window of one outage. */
type Holding = {
  readonly outage: SheetOutage;
  readonly source: string;
  readonly window: OutageWindow;
  readonly reads: LRUCache<string, Remembered>;
  readonly copies: LRUCache<string, Copied>;
  /** Everything remembered had been read again at some moment before the window. */
  complete: boolean;
  begun: boolean;
  filling: boolean;
};

export type Copies = Readonly<{
  /** The sheet may have changed. */
  follow: () => void;
  /** A session was replied: remembered while an outage is ahead. */
  note: (ask: Ask, replied: StatementReply) => void;
  /** Whether the window of an outage that names the asked database is open. */
  open: (ask: Ask) => boolean;
  reply: (ask: Ask) => Option.Option<StatementReply>;
  describe: () => Readonly<{ remembered: number; held: number; bytes: number }>;
  stop: () => void;
}>;

const aheadMilliseconds = 86_400_000;
/** An uplink may come back late. */
export const outageGraceMilliseconds = 30_000;
const tickMilliseconds = 500;
/** One read at a time, and a rest after each: members hardly feel it. */
const paceMilliseconds = 20;
const mostRemembered = 5_000;
const entryBytes = 256;
/** Asking again would be told the same. */
const lasting: ReadonlySet<string> = new Set(['undefined', 'malformed', 'denied', 'no-database', 'oversize']);

/** The same read: same database, tenant, session values and words. */
function keyOf(ask: Ask): string {
  const values = [...ask.session.values].sort(([left], [right]) => (left < right ? -1 : 1));
  const words = Option.isSome(ask.prepared) ? [ask.prepared.value.shape.shape, ask.prepared.value.rest] : ask.text;
  return JSON.stringify([ask.database.database, ask.tenant, values, words]);
}

/** Single reads alone: a transaction's would come from different moments, and its commit from none. */
function mayBeHeld(outage: SheetOutage, ask: Ask): boolean {
  return (
    !ask.writes && Option.isNone(ask.transaction) && ask.database.reads !== 'leader' && outage.databases.includes(ask.database.database)
  );
}

/** A session sees its own commits, or nothing. */
function coversOwn(ask: Ask, copied: Copied): boolean {
  if (ask.session.unsettled) return false;
  const own = ask.session.commits.get(copied.service);
  return own === undefined || (Option.isSome(copied.position) && positions.compare(copied.position.value, own) >= 0);
}

function create(kernel: Kernel, view: () => View, askMember: (ask: Ask) => Promise<StatementReply>): Copies {
  let holdings: readonly Holding[] = [];
  let outages: readonly SheetOutage[] = [];
  let version = 0;
  let running = false;
  let stopped = false;

  function begin(outage: SheetOutage, source: string, window: OutageWindow): Holding {
    return {
      outage,
      source,
      window,
      reads: new LRUCache({
        max: mostRemembered,
        maxSize: outage.mostBytes,
        sizeCalculation: (_remembered, key) => key.length + entryBytes,
      }),
      copies: new LRUCache<string, Copied>({
        maxSize: outage.mostBytes,
        sizeCalculation: (copied, key) => key.length + entryBytes + copied.rows.reduce((sum, row) => sum + row.length, 0),
      }),
      complete: false,
      begun: false,
      filling: false,
    };
  }

  function ask(session: Ask['session'], from: Pick<Ask, 'text' | 'prepared' | 'database' | 'tenant'>): Ask {
    const { text, prepared, database, tenant } = from;
    return {
      session,
      identifier: 'copy',
      text,
      prepared,
      database,
      tenant,
      writes: false,
      commit: false,
      transaction: Option.none,
      copying: true,
    };
  }

  function remember(holding: Holding, asked: Ask): void {
    const key = keyOf(asked);
    if (holding.reads.get(key) !== undefined) return;
    const session = sessions.create('copy', asked.session.database, asked.session.who);
    for (const [name, value] of asked.session.values) session.values.set(name, value);
    holding.reads.set(key, { read: ask(session, asked), tried: false });
  }

  /** What the operators named themselves. */
  function rememberNamed(holding: Holding): void {
    const known = view();
    for (const { database: named, tenant, text } of holding.outage.things) {
      const database = known.databases.get(named);
      const who = [...known.tenants].find(([, one]) => one.tenant === tenant)?.[0];
      if (database === undefined || who === undefined || database.reads === 'leader')
        kernel.log('copy.not-held', {
          site: holding.outage.site,
          database: named,
          tenant,
          reason: 'the tenant has no key, or its reads need the leader',
        });
      else remember(holding, ask(sessions.create('copy', named, who), { text, prepared: Option.none, database, tenant }));
    }
  }

  function windowIsOpen(holding: Holding): boolean {
    const wall = kernel.clock.wall();
    return wall >= holding.window.from && wall < holding.window.to + outageGraceMilliseconds;
  }

  function isToBeFilled(holding: Holding): boolean {
    const wall = kernel.clock.wall();
    return (
      !stopped && holdings.includes(holding) && wall >= holding.window.from - holding.outage.holdMilliseconds && wall < holding.window.from
    );
  }

  /** By the ordinary way: placed, paced and within the bound like any read of that tenant. */
  async function fill(holding: Holding): Promise<void> {
    holding.filling = true;
    let left = 0;
    // Those used last come last, so that the least used are the first to give way.
    for (const key of [...holding.reads.rkeys()]) {
      const remembered = holding.reads.peek(key);
      if (remembered === undefined || remembered.tried) continue;
      const { read } = remembered;
      if (!isToBeFilled(holding)) break;
      const database = view().databases.get(read.database.database);
      const copiedAt = identifiers.wallTime(Math.floor(kernel.clock.wall()));
      const replied = database === undefined ? undefined : await askMember({ ...read, database });
      if (!isToBeFilled(holding)) break;
      if (database !== undefined && replied?.ending.kind === 'done') {
        remembered.tried = true;
        holding.copies.set(key, {
          rows: replied.rows,
          ending: replied.ending,
          position: replied.position,
          service: database.service,
          copiedAt,
        });
        if (!holding.copies.has(key)) notHeld(holding, read, 'it is larger than the bound');
      } else if (replied === undefined || (replied.ending.kind === 'fault' && lasting.has(replied.ending.condition))) {
        remembered.tried = true;
        notHeld(holding, read, replied?.ending.kind === 'fault' ? replied.ending.condition : 'no-database');
      } else left += 1;
      await kernel.clock.sleep(paceMilliseconds);
    }
    if (isToBeFilled(holding) && left === 0 && !holding.complete && [...holding.reads.values()].every((one) => one.tried)) {
      holding.complete = true;
      kernel.log('copy.complete', {
        site: holding.outage.site,
        reads: holding.copies.size,
        bytes: holding.copies.calculatedSize,
        gaveWay: holding.reads.size - holding.copies.size,
      });
    }
    holding.filling = false;
  }

  function notHeld(holding: Holding, read: Ask, reason: string): void {
    kernel.log('copy.not-held', { site: holding.outage.site, database: read.database.database, tenant: read.tenant, reason });
  }

  function refresh(): void {
    const wall = kernel.clock.wall();
    const before = holdings;
    holdings = outages.flatMap((outage): readonly Holding[] => {
      const source = JSON.stringify(outage);
      return sheets.windows(outage, wall - outageGraceMilliseconds, wall + aheadMilliseconds).map(function known(window): Holding {
        const held = before.find((one) => one.source === source && one.window.from === window.from);
        if (held !== undefined) return held;
        const holding = begin(outage, source, window);
        rememberNamed(holding);
        return holding;
      });
    });
    for (const gone of before)
      if (!holdings.includes(gone) && gone.begun) kernel.log('outage.end', { site: gone.outage.site, dropped: gone.copies.size });
    for (const holding of holdings) {
      if (!holding.begun && wall >= holding.window.from) {
        holding.begun = true;
        kernel.log('outage.begin', {
          site: holding.outage.site,
          complete: holding.complete,
          reads: holding.complete ? holding.copies.size : 0,
          missing: holding.reads.size - holding.copies.size,
        });
      }
      if (!holding.filling && isToBeFilled(holding)) void fill(holding);
    }
  }

  async function task(): Promise<void> {
    running = true;
    while (!stopped && outages.length > 0) {
      refresh();
      await kernel.clock.sleep(tickMilliseconds);
    }
    refresh();
    running = false;
  }

  return {
    follow: function follow() {
      const known = view();
      if (known.version === version) return;
      version = known.version;
      outages = Option.isSome(known.sheet) ? (known.sheet.value.outages ?? []).filter((outage) => outage.nodes.includes(known.node)) : [];
      if (outages.length + holdings.length > 0) refresh();
      if (!running && outages.length > 0) void task();
    },
    note: function note(asked, replied) {
      if (replied.ending.kind !== 'done' || replied.copiedAt !== undefined) return;
      for (const holding of holdings)
        if (mayBeHeld(holding.outage, asked) && kernel.clock.wall() < holding.window.from) remember(holding, asked);
    },
    open: (asked) => holdings.some((holding) => mayBeHeld(holding.outage, asked) && windowIsOpen(holding)),
    reply: function reply(asked) {
      for (const holding of holdings) {
        if (!holding.complete || !windowIsOpen(holding) || !mayBeHeld(holding.outage, asked)) continue;
        const copied = holding.copies.get(keyOf(asked));
        if (copied === undefined || copied.service !== asked.database.service || !coversOwn(asked, copied)) continue;
        return Option.some({
          rows: copied.rows,
          ending: copied.ending,
          stance: 'idle',
          position: copied.position,
          copiedAt: copied.copiedAt,
        });
      }
      return Option.none;
    },
    describe: () => ({
      remembered: holdings.reduce((sum, one) => sum + one.reads.size, 0),
      held: holdings.reduce((sum, one) => sum + one.copies.size, 0),
      bytes: holdings.reduce((sum, one) => sum + one.copies.calculatedSize, 0),
    }),
    stop: function stop() {
      stopped = true;
    },
  };
}

export const copies = { create } as const;
