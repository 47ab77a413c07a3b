/** A client's session over HTTP: its values, prepared statements, last commit and open transaction (design 8.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { MemberConnection } from '@stallstall/pool';
import type { RouteCandidate } from '@stallstall/routing';

/** The connection and member that an open transaction runs on. */
export type PinnedConnection = Readonly<{ connection: MemberConnection; choice: RouteCandidate }>;

export type Session = Readonly<{
  id: string;
  key: string;
  service: string;
  values: () => Readonly<Record<string, unknown>>;
  /** Prepared statements, by the names that the client chose. */
  prepared: () => Readonly<Record<string, string>>;
  setValue: (name: string, value: unknown) => void;
  prepare: (name: string, text: string) => void;
  /** The highest log position of this session's commits on the service; 0 if there was none. */
  lastCommit: (service: string) => number;
  recordCommit: (service: string, position: number) => void;
  pinned: () => Option.Option<PinnedConnection>;
  pin: (connection: PinnedConnection) => void;
  unpin: () => void;
  /** Whether a statement of the session is being executed. */
  busy: () => boolean;
  setBusy: (isBusy: boolean) => void;
  lastUsedAt: () => Instant;
  markUsed: () => void;
  /** Whether the session was closed; no statement is started in it any more. */
  ended: () => boolean;
  end: () => void;
}>;

function create(clock: Clock, id: string, key: string, service: string): Session {
  const values: Record<string, unknown> = {};
  const prepared: Record<string, string> = {};
  const commits = new Map<string, number>();
  let pinned: Option.Option<PinnedConnection> = Option.none;
  let busy = false;
  let ended = false;
  let lastUsedAt = clock.now();
  return {
    id,
    key,
    service,
    values: () => values,
    prepared: () => prepared,
    setValue: function setValue(name, value) {
      values[name] = value;
    },
    prepare: function prepare(name, text) {
      prepared[name] = text;
    },
    lastCommit: (committedService) => commits.get(committedService) ?? 0,
    recordCommit: function recordCommit(committedService, position) {
      commits.set(committedService, Math.max(position, commits.get(committedService) ?? 0));
    },
    pinned: () => pinned,
    pin: function pin(connection) {
      pinned = Option.some(connection);
      lastUsedAt = clock.now();
    },
    unpin: function unpin() {
      pinned = Option.none;
    },
    busy: () => busy,
    setBusy: function setBusy(isBusy) {
      busy = isBusy;
      lastUsedAt = clock.now();
    },
    lastUsedAt: () => lastUsedAt,
    markUsed: function markUsed() {
      lastUsedAt = clock.now();
    },
    ended: () => ended,
    end: function end() {
      ended = true;
    },
  };
}

export const session = { create } as const;
