/** The disk half of durable reports: what only grows, so that the highest wins and no ballot is needed (design 5.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { owner, type Disk, type Runtime, type Owner } from '@stallstall/kernel';
import { message, messages, type DurableWatermarks, type Reply, type Request, type UsageReport } from '@stallstall/message';

export type ReportStore = Readonly<{
  /** Merges and syncs a report; the reply holds all watermarks known here. */
  store: (request: Request<'note'>) => Promise<Reply<'note'>>;
  /** What was reported of a usage window. */
  usageOf: (window: number) => Reply<'usageLook'>;
  /** All of it, for a disk that copies this one. */
  snapshot: () => Request<'note'>;
  /** Whether all that was reported is on the disk. */
  isSynced: () => boolean;
  /** From here on reports count. */
  open: () => void;
  close: () => void;
}>;

/** The length of a usage window. Unit: milliseconds. */
export const usageWindowMilliseconds = 5_000;
/** Windows older than this can no longer be sent in time. */
export const retainedUsageWindows = 6;
/** Entries on the disk: each holds the watermarks and one window's reports, and a window so many later takes it over. */
export const reportStoragePrefix = 'notes/';
const storageSlots = 8;

type StoreState = {
  readonly runtime: Runtime;
  readonly disk: Disk;
  readonly commands: Owner<null>;
  watermarks: DurableWatermarks;
  /** The reports of each window, by the process that reported. */
  readonly reports: Map<number, Map<string, UsageReport>>;
  /** Up to which wall time each edge has reported all it counted. */
  readonly through: Map<string, number>;
  /** Windows whose entry on the disk is behind. */
  readonly unsynced: Set<number>;
  changes: number;
  syncedChanges: number;
  isOpen: boolean;
};

function processOf(report: UsageReport): string {
  return `${report.node}#${report.incarnation}`;
}

/** Adds up reports of one window: of each process the newest counts. */
function sumUsageReports(reports: readonly UsageReport[]): Readonly<Record<string, number>> {
  const latest = new Map<string, UsageReport>();
  for (const report of reports) {
    const known = latest.get(processOf(report));
    if (known === undefined || report.number > known.number) latest.set(processOf(report), report);
  }
  const total: Record<string, number> = {};
  for (const { counts } of latest.values()) {
    for (const [service, count] of Object.entries(counts)) total[service] = (total[service] ?? 0) + count;
  }
  return total;
}

function currentWindow({ runtime }: StoreState): number {
  return Math.floor(runtime.clock.wall() / usageWindowMilliseconds);
}

function markChanged(store: StoreState, window: number): void {
  store.unsynced.add(window);
  store.changes += 1;
}

function mergeReport(store: StoreState, report: UsageReport): void {
  const known = store.reports.get(report.window) ?? new Map<string, UsageReport>();
  store.reports.set(report.window, known);
  if ((known.get(processOf(report))?.number ?? -1) >= report.number) return;
  known.set(processOf(report), report);
  markChanged(store, report.window);
}

/** What is reported is in memory at once; the disk follows before anybody is answered. */
function merge(store: StoreState, request: Request<'note'>): void {
  if (!message.covers(store.watermarks, request.floors)) {
    store.watermarks = message.maxWatermarks(store.watermarks, request.floors);
    markChanged(store, currentWindow(store));
  }
  for (const [edge, moment] of Object.entries(request.through)) {
    store.through.set(edge, Math.max(moment, store.through.get(edge) ?? 0));
  }
  const oldest = currentWindow(store) - retainedUsageWindows;
  for (const report of request.reports) {
    if (report.window < oldest) continue;
    mergeReport(store, report);
  }
  for (const window of store.reports.keys()) if (window < oldest) store.reports.delete(window);
}

function reportsOf({ reports }: StoreState, window: number): UsageReport[] {
  return [...(reports.get(window)?.values() ?? [])];
}

async function writeWindows(store: StoreState, windows: readonly number[]): Promise<boolean> {
  for (const window of windows) {
    const entry: Request<'note'> = {
      floors: store.watermarks,
      reports: reportsOf(store, window),
      through: {},
    };
    const written = await store.disk.put(`${reportStoragePrefix}${window % storageSlots}`, entry);
    if (Either.isLeft(written)) return false;
  }
  return true;
}

/** Resolves to true once so many changes are on the disk. */
async function sync(store: StoreState, changes: number): Promise<boolean> {
  while (store.syncedChanges < changes) {
    const upTo = store.changes;
    const windows = [...store.unsynced];
    store.unsynced.clear();
    if (!(await writeWindows(store, windows))) {
      for (const window of windows) store.unsynced.add(window);
      return false;
    }
    store.syncedChanges = upTo;
  }
  return true;
}

/** Reports that arrive while the disk is at work share its next sync. */
async function storeReport(store: StoreState, request: Request<'note'>): Promise<Reply<'note'>> {
  // What could not be synced is not taken up: nobody would be answered, and it would pile up behind a disk that hangs.
  if (Option.isSome(store.disk.trouble())) return { ready: false, floors: { ...store.watermarks } };
  merge(store, request);
  const { changes } = store;
  const isStored = await store.commands.run(() => sync(store, changes));
  return { ready: store.isOpen && isStored, floors: { ...store.watermarks } };
}

function snapshot(store: StoreState): Request<'note'> {
  return {
    floors: { ...store.watermarks },
    reports: [...store.reports.keys()].flatMap((window) => reportsOf(store, window)),
    through: Object.fromEntries(store.through),
  };
}

/** @param stored - what the disk held when the process started */
function create(runtime: Runtime, disk: Disk, stored: ReadonlyMap<string, unknown>): ReportStore {
  const store: StoreState = {
    runtime,
    disk,
    commands: owner.create('reports', null),
    watermarks: {},
    reports: new Map(),
    through: new Map(),
    unsynced: new Set(),
    changes: 0,
    syncedChanges: 0,
    isOpen: false,
  };
  for (const [key, value] of stored) {
    if (key.startsWith(reportStoragePrefix) && message.matches(messages.note.request, value)) merge(store, value);
  }
  store.unsynced.clear();
  store.syncedChanges = store.changes;
  return {
    store: (request) => storeReport(store, request),
    snapshot: () => snapshot(store),
    isSynced: () => store.syncedChanges >= store.changes,
    usageOf: (window) => ({ ready: store.isOpen, reports: reportsOf(store, window), through: Object.fromEntries(store.through) }),
    open: function open() {
      store.isOpen = true;
    },
    close: function close() {
      store.isOpen = false;
    },
  };
}

export const reportStore = { create, sumUsageReports } as const;
