// The disk half of the notes: what only grows, so that the highest wins and no ballot is needed (design 5.5).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { owner, type Disk, type Kernel } from '@stallstall/kernel';
import { message, messages, type Request, type DurableWatermarks, type Reply, type UsageReport } from '@stallstall/message';

export type ReportStore = Readonly<{
  /** Merges and syncs what is told; the reply holds all floors known here. */
  store: (ask: Request<'note'>) => Promise<Reply<'note'>>;
  usageOf: (window: number) => Reply<'usageLook'>;
  /** All of it, for a disk that copies this one. */
  snapshot: () => Request<'note'>;
  /** Whether all that was told is on the disk. */
  isSynced: () => boolean;
  open: () => void;
  close: () => void;
}>;

export const usageWindowMilliseconds = 5_000;
/** Windows older than this can no longer arrive in time. */
export const usageWindowsKept = 6;
/** Entries on the disk: each holds the floors and one window's reports, and a window so many later takes it over. */
export const reportStoragePrefix = 'notes/';
const slots = 8;

function sourceOf(report: UsageReport): string {
  return `${report.node}#${report.incarnation}`;
}

/** For each process what it told last of a window; all of them added up. */
function sumReports(reports: readonly UsageReport[]): Readonly<Record<string, number>> {
  const latest = new Map<string, UsageReport>();
  for (const report of reports) if (report.number > (latest.get(sourceOf(report))?.number ?? -1)) latest.set(sourceOf(report), report);
  const total: Record<string, number> = {};
  for (const { counts } of latest.values())
    for (const [service, count] of Object.entries(counts)) total[service] = (total[service] ?? 0) + count;
  return total;
}

/** `dirty`: windows whose entry on the disk is behind. */
type Table = {
  floors: DurableWatermarks;
  readonly reports: Map<number, Map<string, UsageReport>>;
  readonly through: Map<string, number>;
  readonly dirty: Set<number>;
  changes: number;
  synced: number;
};

function create(kernel: Kernel, disk: Disk, stored: ReadonlyMap<string, unknown>): ReportStore {
  const table: Table = { floors: {}, reports: new Map(), through: new Map(), dirty: new Set(), changes: 0, synced: 0 };
  const notes = owner.create('notes', table);
  let open = false;

  function currentWindow(): number {
    return Math.floor(kernel.clock.wall() / usageWindowMilliseconds);
  }

  function change(window: number): void {
    table.dirty.add(window);
    table.changes += 1;
  }

  /** What is told is in memory at once; the disk follows before anybody is answered. */
  function merge(told: Request<'note'>): void {
    if (!message.covers(table.floors, told.floors)) {
      table.floors = message.maxWatermarks(table.floors, told.floors);
      change(currentWindow());
    }
    for (const [edge, moment] of Object.entries(told.through)) table.through.set(edge, Math.max(moment, table.through.get(edge) ?? 0));
    const oldest = currentWindow() - usageWindowsKept;
    for (const report of told.reports) {
      if (report.window < oldest) continue;
      const known = table.reports.get(report.window) ?? new Map<string, UsageReport>();
      table.reports.set(report.window, known);
      if ((known.get(sourceOf(report))?.number ?? -1) >= report.number) continue;
      known.set(sourceOf(report), report);
      change(report.window);
    }
    for (const window of table.reports.keys()) if (window < oldest) table.reports.delete(window);
  }

  function reportsOf(window: number): UsageReport[] {
    return [...(table.reports.get(window)?.values() ?? [])];
  }

  async function sync(changes: number): Promise<boolean> {
    while (table.synced < changes) {
      const upTo = table.changes;
      const windows = [...table.dirty];
      table.dirty.clear();
      for (const window of windows) {
        const put = await disk.put(`${reportStoragePrefix}${window % slots}`, {
          floors: table.floors,
          reports: reportsOf(window),
          through: {},
        });
        if (Either.isRight(put)) continue;
        for (const behind of windows) table.dirty.add(behind);
        return false;
      }
      table.synced = upTo;
    }
    return true;
  }

  /** Those who come while the disk is at work share its next sync. */
  async function keep(told: Request<'note'>): Promise<Reply<'note'>> {
    // What could not be synced is not taken up: nobody would be answered, and it would pile up behind a disk that hangs.
    if (Option.isSome(disk.trouble())) return { ready: false, floors: { ...table.floors } };
    merge(told);
    const changes = table.changes;
    const kept = await notes.run(() => sync(changes));
    return { ready: open && kept, floors: { ...table.floors } };
  }

  for (const [key, value] of stored) if (key.startsWith(reportStoragePrefix) && message.matches(messages.note.ask, value)) merge(value);
  table.dirty.clear();
  table.synced = table.changes;

  return {
    store: keep,
    snapshot: () => ({
      floors: { ...table.floors },
      reports: [...table.reports.keys()].flatMap(reportsOf),
      through: Object.fromEntries(table.through),
    }),
    isSynced: () => table.synced >= table.changes,
    usageOf: (window) => ({ ready: open, reports: reportsOf(window), through: Object.fromEntries(table.through) }),
    open: function start() {
      open = true;
    },
    close: function close() {
      open = false;
    },
  };
}

export const reportStore = { create, sumReports } as const;
