/**
 * Logs why an edge has not applied a configuration that cores pushed: its content is missing, no majority of cores pushed the same version,
 * or the cores are at another core set.
 */
import type { Instant, Runtime } from '@stallstall/kernel';
import type { AwaitedContent, ContentCounts, PushedVersion } from '@stallstall/register';

/** @internal */
export type ConfigurationLag = Readonly<{
  /** Called periodically. */
  observe: () => void;
}>;

/** @internal */
export type LagState = Readonly<{
  appliedVersion: number;
  setNumber: number;
  /** Versions pushed with their content, but not applied. */
  unapplied: readonly PushedVersion[];
  /** Versions pushed without their content, which has not been fetched yet. */
  awaited: readonly AwaitedContent[];
  counts: ContentCounts;
}>;

/** A lag is logged once it lasts this long. */
const lagThresholdMilliseconds = 600;
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
  /** When the lag began or the applied version last changed; undefined while up to date. */
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
      if (behindSince === undefined || now - behindSince < lagThresholdMilliseconds || now - loggedAt < logIntervalMilliseconds) return;
      loggedAt = now;
      log('lease-holder.behind', fieldsOf(state, now - behindSince));
    },
  };
}

/** @internal */
export const configurationLag = { create } as const;
