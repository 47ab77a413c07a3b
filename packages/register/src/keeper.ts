// The disk half of the notes: what only grows, so that the highest wins and no ballot is needed (design 5.5).
import * as Either from 'fp-ts/lib/Either.js';
import { owner, type Disk, type Fault, type Kernel } from '@stallstall/kernel';
import { message, messages, type Ask, type Floors, type Reply, type UsageReport } from '@stallstall/message';

export type Keeper = Readonly<{
  /** Merges and syncs what is told; the reply holds all floors known here. */
  keep: (ask: Ask<'note'>) => Promise<Reply<'note'>>;
  look: (window: number) => Reply<'usageLook'>;
  /** All of it, for a disk that copies this one. */
  all: () => Ask<'note'>;
  /** Whether all that was told is on the disk. */
  synced: () => boolean;
  open: () => void;
}>;

export const usageWindowMilliseconds = 5_000;
/** Windows older than this can no longer arrive in time. */
export const keptWindows = 6;
const key = 'notes';

function sourceOf(report: UsageReport): string {
  return `${report.node}#${report.incarnation}`;
}

/** For each process what it told last of a window; all of them added up. */
function add(reports: readonly UsageReport[]): Readonly<Record<string, number>> {
  const latest = new Map<string, UsageReport>();
  for (const report of reports) if (report.number > (latest.get(sourceOf(report))?.number ?? -1)) latest.set(sourceOf(report), report);
  const total: Record<string, number> = {};
  for (const { counts } of latest.values()) for (const [service, count] of Object.entries(counts)) total[service] = (total[service] ?? 0) + count;
  return total;
}

type Table = { floors: Floors; readonly reports: Map<string, UsageReport>; readonly through: Map<string, number>; changes: number; synced: number };

function create(kernel: Kernel, disk: Disk, stored: unknown, onDiskFailed: (error: Fault) => void): Keeper {
  const table: Table = { floors: {}, reports: new Map(), through: new Map(), changes: 0, synced: 0 };
  const notes = owner.create('notes', table);
  let open = false;

  /** What is told is in memory at once; the disk follows before anybody is answered. */
  function merge(told: Ask<'note'>): void {
    const floors = message.higherFloors(table.floors, told.floors);
    if (JSON.stringify(floors) !== JSON.stringify(table.floors)) table.changes += 1;
    table.floors = floors;
    for (const [edge, moment] of Object.entries(told.through)) table.through.set(edge, Math.max(moment, table.through.get(edge) ?? 0));
    const oldest = Math.floor(kernel.clock.wall() / usageWindowMilliseconds) - keptWindows;
    for (const report of told.reports) {
      if (report.window < oldest) continue;
      const place = `${report.window}/${sourceOf(report)}`;
      const known = table.reports.get(place);
      if (known !== undefined && known.number >= report.number) continue;
      table.reports.set(place, report);
      if (JSON.stringify(known?.counts) !== JSON.stringify(report.counts)) table.changes += 1;
    }
    for (const [place, report] of table.reports) if (report.window < oldest) table.reports.delete(place);
  }

  function all(): Ask<'note'> {
    return { floors: { ...table.floors }, reports: [...table.reports.values()], through: Object.fromEntries(table.through) };
  }

  /** Those who come while the disk is at work share its next sync. */
  async function keep(told: Ask<'note'>): Promise<Reply<'note'>> {
    merge(told);
    const changes = table.changes;
    const kept = await notes.ask(async function sync(): Promise<boolean> {
      if (table.synced >= changes) return true;
      const upTo = table.changes;
      const { floors, reports } = all();
      const put = await disk.put(key, { floors, reports, through: {} });
      if (Either.isLeft(put)) {
        onDiskFailed(put.left);
        return false;
      }
      table.synced = upTo;
      return true;
    });
    return { ready: open && kept, floors: { ...table.floors } };
  }

  if (message.fits(messages.note.ask, stored)) {
    merge(stored);
    table.synced = table.changes;
  }

  return {
    keep,
    all,
    synced: () => table.synced >= table.changes,
    look: (window) => ({ ready: open, reports: [...table.reports.values()].filter((report) => report.window === window), through: Object.fromEntries(table.through) }),
    open: function start() {
      open = true;
    },
  };
}

export const keeper = { create, add } as const;
