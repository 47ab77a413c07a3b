/** Requests served, by window of the wall clock and service (design 8.6). */
export type UsageWindow = Readonly<{ window: number; counts: Readonly<Record<string, number>> }>;

export type UsageWindows = Readonly<{
  count: (service: string, window: number) => void;
  /** All retained counts. `pending` lists the services of replies not yet durable; they are counted in `window`. */
  counts: (window: number, pending: readonly string[]) => readonly UsageWindow[];
}>;

const retainedWindows = 4;

function increment(counts: Map<string, number>, service: string): void {
  counts.set(service, (counts.get(service) ?? 0) + 1);
}

function create(): UsageWindows {
  const usage = new Map<number, Map<string, number>>();

  function count(service: string, window: number): void {
    const counts = usage.get(window) ?? new Map<string, number>();
    usage.set(window, counts);
    increment(counts, service);
    for (const earlier of usage.keys()) if (earlier <= window - retainedWindows) usage.delete(earlier);
  }

  function counts(window: number, pending: readonly string[]): readonly UsageWindow[] {
    const all = new Map([...usage].map(([number, services]) => [number, new Map(services)]));
    const current = all.get(window) ?? new Map<string, number>();
    all.set(window, current);
    for (const service of pending) increment(current, service);
    return [...all].map(([number, services]) => ({ window: number, counts: Object.fromEntries(services) }));
  }

  return { count, counts };
}

export const usageWindows = { create } as const;
