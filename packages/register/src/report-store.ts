/** Server side of durable reports. All values only grow, so the highest one wins and no ballots are needed (design 5.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { owner, type Disk, type Runtime, type Owner } from '@stallstall/kernel';
import { message, messages, type DurableWatermarks, type Reply, type Request, type UsageReport } from '@stallstall/message';

export type ReportStore = Readonly<{
  /** Merges a report and syncs it to disk; the reply carries all watermarks stored here. */
  store: (request: Request<'note'>) => Promise<Reply<'note'>>;
  /** The reports of a usage window. */
  usageOf: (window: number) => Reply<'usageLook'>;
  /** The complete contents, for a core that copies this disk. */
  snapshot: () => Request<'note'>;
  /** Whether all reports are synced to disk. */
  isSynced: () => boolean;
  /** Starts acknowledging reports. */
  open: () => void;
  /** Stops acknowledging reports. */
  close: () => void;
}>;

/** The length of a usage window. Unit: milliseconds. */
export const usageWindowMilliseconds = 5_000;
/** The number of past usage windows that are retained; the usage of older windows can no longer be sent in time. */
export const retainedUsageWindows = 6;
/** Prefix of the disk entries, each of which holds the watermarks and the reports of one window. */
export const reportStoragePrefix = 'notes/';
/** The number of disk entries: a window overwrites the entry of the window this many earlier. */
const storageSlots = 8;

type StoreState = {
  readonly runtime: Runtime;
  readonly disk: Disk;
  readonly commands: Owner<null>;
  watermarks: DurableWatermarks;
  /** The reports of each window, by reporting process. */
  readonly reports: Map<number, Map<string, UsageReport>>;
  /** The wall-clock time up to which each edge has reported all its usage. */
  readonly reportedThrough: Map<string, number>;
  /** Windows whose disk entry is out of date. */
  readonly unsynced: Set<number>;
  changeCount: number;
  syncedChangeCount: number;
  isOpen: boolean;
};

function processOf(report: UsageReport): string {
  return `${report.node}#${report.incarnation}`;
}

/** Adds up the reports of one window, counting only the newest report of each process. */
function sumUsageReports(reports: readonly UsageReport[]): Readonly<Record<string, number>> {
  const latest = new Map<string, UsageReport>();
  for (const report of reports) {
    const previous = latest.get(processOf(report));
    if (previous === undefined || report.number > previous.number) latest.set(processOf(report), report);
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
  store.changeCount += 1;
}

function mergeReport(store: StoreState, report: UsageReport): void {
  const windowReports = store.reports.get(report.window) ?? new Map<string, UsageReport>();
  store.reports.set(report.window, windowReports);
  if ((windowReports.get(processOf(report))?.number ?? -1) >= report.number) return;
  windowReports.set(processOf(report), report);
  markChanged(store, report.window);
}

/** Merges a report in memory. It is synced to disk before it is acknowledged. */
function merge(store: StoreState, request: Request<'note'>): void {
  if (!message.covers(store.watermarks, request.floors)) {
    store.watermarks = message.maxWatermarks(store.watermarks, request.floors);
    markChanged(store, currentWindow(store));
  }
  for (const [edge, moment] of Object.entries(request.through)) {
    store.reportedThrough.set(edge, Math.max(moment, store.reportedThrough.get(edge) ?? 0));
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

/** Syncs until the first `requiredCount` changes are on disk; resolves to false if a write fails. */
async function sync(store: StoreState, requiredCount: number): Promise<boolean> {
  while (store.syncedChangeCount < requiredCount) {
    const changeCount = store.changeCount;
    const windows = [...store.unsynced];
    store.unsynced.clear();
    if (!(await writeWindows(store, windows))) {
      for (const window of windows) store.unsynced.add(window);
      return false;
    }
    store.syncedChangeCount = changeCount;
  }
  return true;
}

/** Reports that arrive during a sync are written together in the next one. */
async function storeReport(store: StoreState, request: Request<'note'>): Promise<Reply<'note'>> {
  // While the disk does not sync, reports are rejected: they could not be acknowledged, and would queue up behind a hanging disk.
  if (Option.isSome(store.disk.syncFault())) return { ready: false, floors: { ...store.watermarks } };
  merge(store, request);
  const { changeCount } = store;
  const isStored = await store.commands.run(() => sync(store, changeCount));
  return { ready: store.isOpen && isStored, floors: { ...store.watermarks } };
}

function snapshot(store: StoreState): Request<'note'> {
  return {
    floors: { ...store.watermarks },
    reports: [...store.reports.keys()].flatMap((window) => reportsOf(store, window)),
    through: Object.fromEntries(store.reportedThrough),
  };
}

/** @param stored - the contents of the disk at process start */
function create(runtime: Runtime, disk: Disk, stored: ReadonlyMap<string, unknown>): ReportStore {
  const store: StoreState = {
    runtime,
    disk,
    commands: owner.create('reports', null),
    watermarks: {},
    reports: new Map(),
    reportedThrough: new Map(),
    unsynced: new Set(),
    changeCount: 0,
    syncedChangeCount: 0,
    isOpen: false,
  };
  for (const [key, value] of stored) {
    if (key.startsWith(reportStoragePrefix) && message.matches(messages.note.request, value)) merge(store, value);
  }
  store.unsynced.clear();
  store.syncedChangeCount = store.changeCount;
  return {
    store: (request) => storeReport(store, request),
    snapshot: () => snapshot(store),
    isSynced: () => store.syncedChangeCount >= store.changeCount,
    usageOf: (window) => ({ ready: store.isOpen, reports: reportsOf(store, window), through: Object.fromEntries(store.reportedThrough) }),
    open: function open() {
      store.isOpen = true;
    },
    close: function close() {
      store.isOpen = false;
    },
  };
}

export const reportStore = { create, sumUsageReports } as const;
