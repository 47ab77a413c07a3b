/** A session of the HTTP wire: values, prepared statements, the last commit and an open transaction belong to one client alone (design 8.2). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Clock, Instant } from '@stallstall/kernel';
import type { MemberConnection } from '@stallstall/pool';
import type { RouteCandidate } from '@stallstall/routing';

/** Where the open transaction runs. */
export type Pinned = Readonly<{ connection: MemberConnection; choice: RouteCandidate }>;

export type Session = Readonly<{
  id: string;
  key: string;
  service: string;
  values: () => Readonly<Record<string, unknown>>;
  /** Prepared statements, by the client's names. */
  prepared: () => Readonly<Record<string, string>>;
  setValue: (name: string, value: unknown) => void;
  prepare: (name: string, text: string) => void;
  /** The highest position that a commit of this session on the service is known to have; 0 when there is none. */
  lastCommit: (service: string) => number;
  committed: (service: string, position: number) => void;
  pinned: () => Option.Option<Pinned>;
  pin: (pinned: Pinned) => void;
  unpin: () => void;
  /** Whether a statement of it is under way. */
  busy: () => boolean;
  setBusy: (busy: boolean) => void;
  touchedAt: () => Instant;
  touch: () => void;
  /** It was closed: nothing more is begun in it. */
  ended: () => boolean;
  end: () => void;
}>;

function create(clock: Clock, id: string, key: string, service: string): Session {
  const values: Record<string, unknown> = {};
  const prepared: Record<string, string> = {};
  const commits = new Map<string, number>();
  let pinned: Option.Option<Pinned> = Option.none;
  let busy = false;
  let ended = false;
  let touchedAt = clock.now();
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
    lastCommit: (named) => commits.get(named) ?? 0,
    committed: function committed(named, position) {
      commits.set(named, Math.max(position, commits.get(named) ?? 0));
    },
    pinned: () => pinned,
    pin: function pin(to) {
      pinned = Option.some(to);
      touchedAt = clock.now();
    },
    unpin: function unpin() {
      pinned = Option.none;
    },
    busy: () => busy,
    setBusy: function setBusy(now) {
      busy = now;
      touchedAt = clock.now();
    },
    touchedAt: () => touchedAt,
    touch: function touch() {
      touchedAt = clock.now();
    },
    ended: () => ended,
    end: function end() {
      ended = true;
    },
  };
}

export const session = { create } as const;
