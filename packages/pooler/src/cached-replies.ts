/** Caches replies to reads so that an edge can serve them during an announced outage of its site's uplink (design 8.13). */
import * as Option from 'fp-ts/lib/Option.js';
import { byteText, identifiers, type Runtime } from '@stallstall/kernel';
import { placements, type AnnouncedOutage } from '@stallstall/placement';
import type { StatementReply } from '@stallstall/session-protocol';
import { outageCaches, outageGraceMilliseconds, type OutageCache, type RecordedRead } from './outage-cache.js';
import { sessions } from './sessions.js';
import type { StatementRequest } from './statement-request.js';
import type { View } from './view.js';

export type CachedReplies = Readonly<{
  /** To be called after each placement update: the configuration may have changed. */
  applyConfiguration: () => void;
  /** Records a read that was served to a session, if an outage lies ahead that its reply should be cached for. */
  recordRead: (request: StatementRequest, replied: StatementReply) => void;
  /** Whether an outage that covers the request is in progress. */
  isOutageOpen: (request: StatementRequest) => boolean;
  /** The cached reply to a request, if there is one and an outage is in progress. */
  reply: (request: StatementRequest) => Option.Option<StatementReply>;
  describe: () => Readonly<{ recorded: number; cached: number; bytes: number }>;
  stop: () => void;
}>;

type State = {
  readonly runtime: Runtime;
  readonly view: () => View;
  /** Sends a read to a member through the same routing, limits and tenant rules as any client statement. */
  readonly readFromMember: (request: StatementRequest) => Promise<StatementReply>;
  /** One for each outage window that is upcoming or open. */
  caches: readonly OutageCache[];
  /** The configured outages that name this edge. */
  outages: readonly AnnouncedOutage[];
  /** The version of the configuration that `outages` was taken from. */
  configurationVersion: number;
  running: boolean;
  stopped: boolean;
};

/** Reads are recorded for windows that begin within this time. */
const recordAheadMilliseconds = 86_400_000;
const refreshMilliseconds = 500;
/** Pause after each read that fills the cache, to keep the load on members low. */
const fillPauseMilliseconds = 20;
/** Conditions that retrying the read would not change. */
const permanentConditions: ReadonlySet<string> = new Set(['undefined', 'malformed', 'denied', 'no-database', 'oversize']);

function logNotCached({ runtime }: State, cache: OutageCache, database: string, tenant: string, reason: string): void {
  runtime.log('copy.not-held', { site: cache.outage.site, database, tenant, reason });
}

/** Records the reads that are listed in the configuration of the outage. */
function recordConfiguredReads(state: State, cache: OutageCache): void {
  const view = state.view();
  for (const { database: databaseName, tenant, text } of cache.outage.things) {
    const database = view.databases.get(databaseName);
    const key = [...view.tenantsByKey].find(([, entry]) => entry.tenant === tenant)?.[0];
    if (database === undefined || key === undefined || database.reads === 'leader')
      logNotCached(
        state,
        cache,
        databaseName,
        tenant,
        'the database is unknown, the tenant has no key, or reads of the database require the leader',
      );
    else {
      const session = sessions.create('copy', databaseName, key);
      outageCaches.recordRead(
        cache,
        outageCaches.cacheFillRequest(session, { text: byteText.encode(text), prepared: Option.none, database, tenant }),
      );
    }
  }
}

function shouldFill(state: State, cache: OutageCache): boolean {
  return !state.stopped && state.caches.includes(cache) && outageCaches.isFillTime(cache, state.runtime.clock.wall());
}

type FillResult = 'attempted' | 'failed' | 'too-late';

/** Repeats a recorded read on a member and caches the reply. */
async function fillOne(state: State, cache: OutageCache, key: string, recorded: RecordedRead): Promise<FillResult> {
  const { read } = recorded;
  const database = state.view().databases.get(read.database.database);
  const cachedAt = identifiers.wallTime(Math.floor(state.runtime.clock.wall()));
  const replied = database === undefined ? undefined : await state.readFromMember({ ...read, database });
  if (!shouldFill(state, cache)) return 'too-late';
  if (database === undefined || replied === undefined) {
    logNotCached(state, cache, read.database.database, read.tenant, 'no-database');
    return 'attempted';
  }
  const { rows, completion, position } = replied;
  if (completion.kind === 'done') {
    cache.replies.set(key, { rows, completion, position, service: database.service, cachedAt });
    if (!cache.replies.has(key))
      logNotCached(state, cache, read.database.database, read.tenant, 'the reply exceeds the size limit of the cache');
    return 'attempted';
  }
  if (!permanentConditions.has(completion.condition)) return 'failed';
  logNotCached(state, cache, read.database.database, read.tenant, completion.condition);
  return 'attempted';
}

/** Fills the cache of one window, one read at a time. Failed reads are retried at the next refresh. */
async function fill(state: State, cache: OutageCache): Promise<void> {
  cache.isFilling = true;
  let failures = 0;
  // Least recently used first, so that they are also the first to be evicted.
  for (const key of [...cache.reads.rkeys()]) {
    const recorded = cache.reads.peek(key);
    if (recorded === undefined || recorded.isAttempted) continue;
    if (!shouldFill(state, cache)) break;
    const result = await fillOne(state, cache, key, recorded);
    if (result === 'too-late') break;
    if (result === 'attempted') recorded.isAttempted = true;
    else failures += 1;
    await state.runtime.clock.sleep(fillPauseMilliseconds);
  }
  if (shouldFill(state, cache) && failures === 0 && !cache.isComplete && [...cache.reads.values()].every((read) => read.isAttempted))
    markComplete(state, cache);
  cache.isFilling = false;
}

function markComplete({ runtime }: State, cache: OutageCache): void {
  cache.isComplete = true;
  runtime.log('copy.complete', {
    site: cache.outage.site,
    reads: cache.replies.size,
    bytes: cache.replies.calculatedSize,
    gaveWay: cache.reads.size - cache.replies.size,
  });
}

function logOutageBegin({ runtime }: State, cache: OutageCache): void {
  runtime.log('outage.begin', {
    site: cache.outage.site,
    complete: cache.isComplete,
    reads: cache.isComplete ? cache.replies.size : 0,
    missing: cache.reads.size - cache.replies.size,
  });
}

/** The caches of an outage's windows that are upcoming or open; existing ones keep their replies. */
function cachesOf(state: State, outage: AnnouncedOutage, previous: readonly OutageCache[]): readonly OutageCache[] {
  const wall = state.runtime.clock.wall();
  const configuredText = JSON.stringify(outage);
  return placements
    .outageWindows(outage, wall - outageGraceMilliseconds, wall + recordAheadMilliseconds)
    .map(function cacheOf(window): OutageCache {
      const cache = previous.find((other) => other.configuredText === configuredText && other.window.from === window.from);
      if (cache !== undefined) return cache;
      const added = outageCaches.create(outage, configuredText, window);
      recordConfiguredReads(state, added);
      return added;
    });
}

function refresh(state: State): void {
  const { runtime } = state;
  const previous = state.caches;
  state.caches = state.outages.flatMap((outage) => cachesOf(state, outage, previous));
  for (const expired of previous)
    if (!state.caches.includes(expired) && expired.hasBegun)
      runtime.log('outage.end', { site: expired.outage.site, dropped: expired.replies.size });
  for (const cache of state.caches) {
    if (!cache.hasBegun && runtime.clock.wall() >= cache.window.from) {
      cache.hasBegun = true;
      logOutageBegin(state, cache);
    }
    if (!cache.isFilling && shouldFill(state, cache)) void fill(state, cache);
  }
}

async function run(state: State): Promise<void> {
  state.running = true;
  while (!state.stopped && state.outages.length > 0) {
    refresh(state);
    await state.runtime.clock.sleep(refreshMilliseconds);
  }
  refresh(state);
  state.running = false;
}

function applyConfiguration(state: State): void {
  const view = state.view();
  if (view.configurationVersion === state.configurationVersion) return;
  state.configurationVersion = view.configurationVersion;
  const outages = Option.isSome(view.configuration) ? (view.configuration.value.outages ?? []) : [];
  state.outages = outages.filter((outage) => outage.nodes.includes(view.node));
  if (state.outages.length + state.caches.length > 0) refresh(state);
  if (!state.running && state.outages.length > 0) void run(state);
}

function recordRead({ runtime, caches }: State, request: StatementRequest, replied: StatementReply): void {
  if (replied.completion.kind !== 'done' || replied.cachedAt !== undefined) return;
  for (const cache of caches)
    if (outageCaches.covers(cache, request) && runtime.clock.wall() < cache.window.from) outageCaches.recordRead(cache, request);
}

function create(runtime: Runtime, view: () => View, readFromMember: (request: StatementRequest) => Promise<StatementReply>): CachedReplies {
  const state: State = { runtime, view, readFromMember, caches: [], outages: [], configurationVersion: 0, running: false, stopped: false };

  return {
    applyConfiguration: () => applyConfiguration(state),
    recordRead: (request, replied) => recordRead(state, request, replied),
    isOutageOpen: (request) =>
      state.caches.some((cache) => outageCaches.covers(cache, request) && outageCaches.isOpen(cache, runtime.clock.wall())),
    reply: function reply(request) {
      for (const cache of state.caches) {
        const cached = outageCaches.reply(cache, request, runtime.clock.wall());
        if (Option.isSome(cached)) return cached;
      }
      return Option.none;
    },
    describe: () => ({
      recorded: state.caches.reduce((sum, cache) => sum + cache.reads.size, 0),
      cached: state.caches.reduce((sum, cache) => sum + cache.replies.size, 0),
      bytes: state.caches.reduce((sum, cache) => sum + cache.replies.calculatedSize, 0),
    }),
    stop: function stop() {
      state.stopped = true;
    },
  };
}

export const cachedReplies = { create } as const;
