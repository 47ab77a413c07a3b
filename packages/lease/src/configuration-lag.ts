/** Logs why an edge does not apply a configuration that cores have pushed: no content, no majority on one version, or another set of cores. */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { AwaitedContent, ContentCounts, PushedVersion } from '@stallstall/register';

/** @internal */
export type ConfigurationLag = Readonly<{
  /** Called at each look at what is in doubt. */
  observe: () => void;
}>;

/** @internal */
export type LagState = Readonly<{
  appliedVersion: number;
  setNumber: number;
  /** Pushed with content, and not applied. */
  unapplied: readonly PushedVersion[];
  /** Pushed without content, which is not known here yet. */
  awaited: readonly AwaitedContent[];
  counts: ContentCounts;
}>;

/** A version that takes longer than this is worth a line. */
const patienceMilliseconds = 600;
const logIntervalMilliseconds = 1_000;

function versionsOf(pushes: readonly AwaitedContent[]): string {
  return pushes.map(({ core, version }) => `${core}=${version}`).join(' ');
}

function isBehind({ appliedVersion, unapplied, awaited }: LagState): boolean {
  return [...unapplied, ...awaited].some(({ version }) => version > appliedVersion);
}

function fieldsOf(state: LagState, milliseconds: number): Record<string, string | number> {
  const { appliedVersion, setNumber, unapplied, awaited, counts } = state;
  return {
    key: 'configuration',
    applied: appliedVersion,
    milliseconds: Math.round(milliseconds),
    unapplied: versionsOf(unapplied),
    awaitingContent: versionsOf(awaited),
    set: setNumber,
    otherSets: unapplied.filter((push) => push.set !== setNumber).length,
    ...counts,
  };
}

function create({ clock, log }: Runtime, readState: () => LagState): ConfigurationLag {
  let appliedVersion = 0;
  /** Since when the applied version is the same, and not the newest. */
  let behindSince: Instant | undefined;
  let loggedAt = Number.NEGATIVE_INFINITY;
  return {
    observe: function observe() {
      const state = readState();
      const now = clock.now();
      const isProgressing = state.appliedVersion !== appliedVersion;
      appliedVersion = state.appliedVersion;
      if (!isBehind(state)) behindSince = undefined;
      else if (behindSince === undefined || isProgressing) behindSince = now;
      if (behindSince === undefined || now - behindSince < patienceMilliseconds || now - loggedAt < logIntervalMilliseconds) return;
      loggedAt = now;
      log('lease-holder.behind', fieldsOf(state, now - behindSince));
    },
  };
}

/** @internal */
export const configurationLag = { create } as const;
