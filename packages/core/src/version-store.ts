// Earlier versions of the configuration, compressed, on each core's own disk: a bounded tail behind the newest (design 5.4).
// A version is put here as its successor is accepted; what a core has missed it asks the others for, while it serves.
import { deflateSync, inflateSync } from 'node:zlib';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { kernel as kernels, owner, type Disk, type Kernel } from '@stallstall/kernel';
import { ballotZero, EarlierVersionSchema, message, type Request, type EarlierVersion, type Entry, type Reply } from '@stallstall/message';
import type { Configuration, Node } from '@stallstall/node';
import { acceptor, archivePrefix, archiveStoragePrefix, type CellState } from '@stallstall/register';

/** What is kept of a version: what is carried along for later sends alone stays behind. */
export type SentVersion = Omit<Configuration, 'recent' | 'history'>;
export type VersionRow = Readonly<{ version: number; sentBy: string; sentAt: number }>;

export type VersionStoreParts = Readonly<{
  disk: Disk;
  /** The version of the configuration on this core's own disk. */
  newest: () => number;
  /** The other cores, and the links to them as far as they are held. */
  node: Pick<Node, 'cores' | 'peerOf'>;
}>;

export type VersionStore = Readonly<{
  /** Keeps an entry that is about to be replaced; with a history, as disks of format 1 have it, that too. */
  keep: (entry: Entry) => Promise<boolean>;
  read: (version: number) => Promise<Option.Option<SentVersion>>;
  /** What is told of a version in listings, as far as it is kept on this disk. */
  row: (version: number) => VersionRow | undefined;
  /** The oldest version that may be asked for. */
  oldest: (latest: number) => number;
  earlier: (ask: Request<'earlier'>) => Promise<Reply<'earlier'>>;
  start: () => Promise<void>;
  stop: () => void;
}>;

/** So many versions are kept at the most; a version so many later takes the place over. */
export const versionsKept = 10_000;
/** And no more than so many bytes of them: the oldest go first. */
export const versionBytesMost = 16 * 1024 * 1024;
const prefix = `${archiveStoragePrefix}versions/`;
const pageBytes = 256 * 1024;
const askedAtOnce = 50;
const askMilliseconds = 1_000;
const repairMilliseconds = 500;
const unknownMilliseconds = 10_000;

type Table = { readonly rows: Map<number, VersionRow & Readonly<{ bytes: number }>>; bytes: number; forgottenUpTo: number };

function placeOf(version: number): string {
  return `${prefix}${version % versionsKept}`;
}

/** In the form of a cell, as the release before this one expects of all that lies there: it may be taken back. */
function cellOf(kept: EarlierVersion | null): CellState {
  return { promised: ballotZero, accepted: kept === null ? null : { ballot: ballotZero, version: kept.version, value: kept } };
}

function heldIn(stored: unknown): EarlierVersion | undefined {
  const value = acceptor.isCellState(stored) ? stored.accepted?.value : undefined;
  return message.matches(EarlierVersionSchema, value) ? value : undefined;
}

function packed(version: number, kept: SentVersion): EarlierVersion {
  const content = deflateSync(JSON.stringify(kept));
  return { version, sentBy: kept.sentBy, sentAt: kept.sentAt, content: content.toString('base64') };
}

function unpacked(stored: EarlierVersion): SentVersion {
  const text = inflateSync(Buffer.from(stored.content, 'base64'));
  return JSON.parse(text.toString()) as SentVersion;
}

function create(kernel: Kernel, parts: VersionStoreParts): VersionStore {
  const { disk } = parts;
  const table: Table = { rows: new Map(), bytes: 0, forgottenUpTo: 0 };
  const commands = owner.create('versions', table);
  let stopped = false;

  function list(stored: EarlierVersion): void {
    const { version, sentBy, sentAt } = stored;
    const bytes = stored.content.length;
    table.bytes += bytes - (table.rows.get(version)?.bytes ?? 0);
    table.rows.set(version, { version, sentBy, sentAt, bytes });
  }

  function unlist(version: number): void {
    table.bytes -= table.rows.get(version)?.bytes ?? 0;
    table.rows.delete(version);
    table.forgottenUpTo = Math.max(table.forgottenUpTo, version);
  }

  /** Makes room: the oldest versions are forgotten until all that is kept is within its bound. */
  async function forget(): Promise<void> {
    while (table.bytes > versionBytesMost && table.rows.size > 1) {
      const oldest = Math.min(...table.rows.keys());
      unlist(oldest);
      await disk.put(placeOf(oldest), cellOf(null));
    }
  }

  async function put(stored: EarlierVersion): Promise<boolean> {
    if (table.rows.has(stored.version) || stored.version <= table.forgottenUpTo) return true;
    const kept = await disk.put(placeOf(stored.version), cellOf(stored));
    if (Either.isLeft(kept)) return false;
    if (table.rows.has(stored.version - versionsKept)) unlist(stored.version - versionsKept);
    list(stored);
    await forget();
    return true;
  }

  async function keep(entry: Entry): Promise<boolean> {
    const { recent: _recent, history, ...kept } = entry.value as Configuration;
    for (const { version, ...old } of history ?? []) {
      const earlier = packed(version, old);
      if (!(await commands.run(() => put(earlier)))) return false;
    }
    const earlier = packed(entry.version, kept);
    return commands.run(() => put(earlier));
  }

  async function stored(version: number): Promise<Option.Option<EarlierVersion>> {
    if (!table.rows.has(version)) return Option.none;
    const read = await disk.read(placeOf(version));
    const kept = Either.isRight(read) && Option.isSome(read.right) ? heldIn(read.right.value) : undefined;
    return kept?.version === version ? Option.some(kept) : Option.none;
  }

  /** A page of what is kept here of the versions asked for. */
  async function earlier(ask: Request<'earlier'>): Promise<Reply<'earlier'>> {
    const found: EarlierVersion[] = [];
    let left = pageBytes;
    for (const version of ask.versions) {
      if (left <= 0) break;
      const one = await stored(version);
      if (Option.isNone(one)) continue;
      found.push(one.value);
      left -= one.value.content.length;
    }
    return { found };
  }

  /** What every other core keeps of the versions asked for, as far as it replies. */
  async function askOthers(ask: Request<'earlier'>): Promise<ReadonlyArray<Reply<'earlier'>>> {
    const links = parts.node.cores().map((core) => parts.node.peerOf(core.node));
    const replies = await Promise.all(
      links.map((link) => (Option.isSome(link) ? link.value.call('earlier', ask, askMilliseconds) : Promise.resolve(Option.none))),
    );
    return replies.flatMap((reply) => (Option.isSome(reply) ? [reply.value] : []));
  }

  async function read(version: number): Promise<Option.Option<SentVersion>> {
    const own = await stored(version);
    if (Option.isSome(own)) return Option.some(unpacked(own.value));
    const replies = await askOthers({ versions: [version] });
    const found = replies.flatMap((reply) => reply.found).find((one) => one.version === version);
    return found === undefined ? Option.none : Option.some(unpacked(found));
  }

  function oldest(latest: number): number {
    return Math.max(1, latest - versionsKept + 1, table.forgottenUpTo + 1);
  }

  // -- What was missed.

  /** The newest first, for these are asked for most. */
  function missing(): readonly number[] {
    const newest = parts.newest();
    const least = oldest(newest);
    const found: number[] = [];
    for (let version = newest - 1; version >= least && found.length < askedAtOnce; version -= 1)
      if (!table.rows.has(version) && (unknown.get(version) ?? 0) <= kernel.clock.now()) found.push(version);
    return found;
  }

  /** Versions that no other core told of, and when they are asked for again. */
  const unknown = new Map<number, number>();

  async function repair(): Promise<void> {
    for (let versions = missing(); versions.length > 0 && !stopped; versions = missing()) {
      const replies = await askOthers({ versions: [...versions] });
      if (replies.length === 0) return;
      const before = table.rows.size;
      for (const found of replies.flatMap((reply) => reply.found)) if (!(await commands.run(() => put(found)))) return;
      if (table.rows.size === before) for (const version of versions) unknown.set(version, kernel.clock.now() + unknownMilliseconds);
    }
  }

  async function start(): Promise<void> {
    for (let after = ''; ;) {
      const page = await disk.page(prefix, after, pageBytes);
      // What cannot be read now is asked of the other cores, as after a lost disk.
      const found = Either.isRight(page) ? page.right : [];
      for (const [, value] of found) {
        const kept = heldIn(value);
        if (kept !== undefined) list(kept);
      }
      const last = found.at(-1);
      if (last === undefined) break;
      after = last[0];
    }
    // What was forgotten before this start is not asked for again.
    if (table.bytes > versionBytesMost / 2) table.forgottenUpTo = Math.min(...table.rows.keys()) - 1;
    void kernels.every(kernel.clock, repairMilliseconds, repair, () => !stopped);
  }

  return {
    keep,
    read,
    row: (version) => table.rows.get(version),
    oldest,
    earlier,
    start,
    stop: function stop() {
      stopped = true;
    },
  };
}

/** Where releases before kept versions, each a cell of the register of its own. */
export function earlierReleasePlace(version: number): string {
  return `${archivePrefix}configuration/${version % versionsKept}`;
}

export const versionStore = { create } as const;
