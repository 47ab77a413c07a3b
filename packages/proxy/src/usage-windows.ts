/** What was served by each service, by windows of the wall clock (design 8.6). */
export type UsageWindow = Readonly<{ window: number; counts: Readonly<Record<string, number>> }>;

export type UsageWindows = Readonly<{
  count: (service: string, window: number) => void;
  /** All that is kept; `pending` are the services of responses that are reckoned to the window named. */
  counts: (window: number, pending: readonly string[]) => readonly UsageWindow[];
}>;

const windowsKept = 4;

function add(counts: Map<string, number>, service: string): void {
  counts.set(service, (counts.get(service) ?? 0) + 1);
}

function create(): UsageWindows {
  const usage = new Map<number, Map<string, number>>();

  function count(service: string, window: number): void {
    const counts = usage.get(window) ?? new Map<string, number>();
    usage.set(window, counts);
    add(counts, service);
    for (const old of usage.keys()) if (old <= window - windowsKept) usage.delete(old);
  }

  function counts(window: number, pending: readonly string[]): readonly UsageWindow[] {
    const all = new Map([...usage].map(([known, services]) => [known, new Map(services)]));
    const current = all.get(window) ?? new Map<string, number>();
    all.set(window, current);
    for (const service of pending) add(current, service);
    return [...all].map(([known, services]) => ({ window: known, counts: Object.fromEntries(services) }));
  }

  return { count, counts };
}

export const usageWindows = { create } as const;
