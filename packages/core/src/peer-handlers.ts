/** Handles the calls that other processes send to a core over their links (design 3.2, 4, 5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Vote } from '@stallstall/election';
import type { Reply, Request } from '@stallstall/message';
import type { Caller, Handlers } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { CoreSetView } from '@stallstall/register';
import type { ChangeSubscribers } from './change-subscribers.js';
import type { CoreServices, CoreStorage } from './core-context.js';
import { coreStorage } from './core-storage.js';
import type { FleetBootstrap } from './fleet-bootstrap.js';
import { coreSetOf } from './fleet-record.js';
import type { MembershipTable } from './membership-table.js';
import { storeReport } from './report-handling.js';
import type { VersionStore } from './version-store.js';

export type PeerHandlerParts = Readonly<{
  services: CoreServices;
  subscribers: ChangeSubscribers;
  versions: Pick<VersionStore, 'readBatch'>;
  bootstrap: FleetBootstrap;
  table: MembershipTable;
}>;

/**
 * The number of this core's core set, as a field of its messages; omitted while the core is in no set or is moving to the next one
 * (design 4.8).
 */
export function currentSet(view: CoreSetView | undefined): Readonly<{ set?: number }> {
  return view === undefined || view.number() < 0 ? {} : { set: view.number() };
}

/** The highest epochs that this core voted in, and that edges voted in as far as their votes are in this core's cells. */
async function votedEpochs({ votes, cells }: CoreStorage): Promise<Record<string, number>> {
  const epochs: Record<string, number> = { ...(await votes.epochs()) };
  for (const { key, state } of cells.cells()) {
    const [kind, service] = key.split('/');
    const vote = state.accepted?.value as Partial<Vote> | undefined;
    if (kind !== 'vote' || service === undefined || typeof vote?.epoch !== 'number') continue;
    epochs[service] = Math.max(vote.epoch, epochs[service] ?? 0);
  }
  return epochs;
}

function helloHandler({ services, bootstrap }: PeerHandlerParts): NonNullable<Handlers['hello']> {
  const { context, storage, node } = services;
  return async function hello(request, caller) {
    const reply = await (node.handlers.hello as NonNullable<Handlers['hello']>)(request, caller);
    bootstrap.onHelloReceived(request);
    const record = storage.recordStore.current();
    if (Option.isNone(record)) return { ...reply, fleet: '', founding: '', cores: [] };
    const { fleet, stage, cores } = record.value;
    if (stage !== 'formed') return { ...reply, fleet: '', founding: fleet, cores: [] };
    return {
      ...reply,
      fleet,
      founding: fleet,
      cores: cores.map((core) => quorum.findNode(node.membership().value, core.node) ?? core),
      ...(Option.isSome(context.coreSet) ? { set: coreSetOf(record.value) } : {}),
    };
  };
}

/** Replies with a page of this core's state, for a core that copies it. */
function copyHandler({ services }: PeerHandlerParts): NonNullable<Handlers['copy']> {
  const { storage } = services;
  const { cells, reports, coreSetView } = storage;
  return async function copy(request) {
    const current = currentSet(coreSetView);
    const page = await cells.page(request.after);
    return {
      ready: Either.isRight(page) && cells.ready() && (coreSetView === undefined || current.set !== undefined),
      ...current,
      votes: await votedEpochs(storage),
      notes: reports.snapshot(),
      ...(Either.isRight(page) ? page.right : { entries: [], next: '' }),
    };
  };
}

/** Subscribes a node to changes and records what it acknowledges (design 5.2). */
function watchHandler({ services, subscribers }: PeerHandlerParts): NonNullable<Handlers['watch']> {
  const { context, storage, node } = services;
  return function watch(request, caller) {
    const subscriber = subscribers.subscribe(storage.cells, request, caller);
    return {
      ready: storage.cells.ready(),
      number: subscriber?.lastChangeNumber ?? 0,
      configuration: coreStorage.versionOf(storage, 'configuration'),
      membership: coreStorage.membershipVersion(storage),
      puts: context.disk.puts(),
      superseded: request.incarnation > 0 && node.isSuperseded(request.node, request.incarnation),
    };
  };
}

function leaseHandler({ services, subscribers }: PeerHandlerParts): NonNullable<Handlers['lease']> {
  const { context, storage } = services;
  const { cells, coreSetView } = storage;
  return async function lease(request: Request<'lease'>, caller: Caller): Promise<Reply<'lease'>> {
    if (Option.isNone(context.registration)) throw new Error('this fleet does not use leases');
    subscribers.subscribe(cells, request, caller);
    const reply = await context.registration.value.grantor.grant(request);
    // The grantor may have waited until this core opened. The node is then subscribed here, so that watched entries precede the reply.
    if (reply.ready) subscribers.subscribe(cells, request, caller);
    const newer = coreSetView?.newerThan(request.set ?? 0);
    const current = currentSet(coreSetView);
    return { ...reply, ready: reply.ready && current.set !== undefined, ...current, ...(newer === undefined ? {} : { newer }) };
  };
}

/** Merges heartbeats that another core received. */
function spreadHandler({ services }: PeerHandlerParts): NonNullable<Handlers['spread']> {
  const { context, storage } = services;
  return async function spread(request) {
    const isMerged = Option.isSome(context.registration) && (await context.registration.value.mergeHeartbeats(request.beats));
    return { taken: isMerged && storage.cells.ready() };
  };
}

function create(parts: PeerHandlerParts): Handlers {
  const { services, versions, bootstrap, table } = parts;
  const { context, storage, node } = services;
  const { cells, reports, coreSetView } = storage;
  return {
    ...node.handlers,
    hello: helloHandler(parts),
    form: bootstrap.handleFormRequest,
    copy: copyHandler(parts),
    adopt: async (request) => (Option.isSome(context.coreSet) ? context.coreSet.value.adopt(request) : { adopted: false, silent: [] }),
    prepare: cells.prepare,
    accept: cells.accept,
    look: cells.look,
    watch: watchHandler(parts),
    join: async (request) => (Option.isSome(context.coreSet) ? context.coreSet.value.join(request) : table.join(request)),
    note: (request) => storeReport(reports, coreSetView, request),
    earlier: versions.readBatch,
    usageLook: (request) => reports.usageOf(request.window),
    spread: spreadHandler(parts),
    lease: leaseHandler(parts),
  };
}

export const peerHandlers = { create } as const;
