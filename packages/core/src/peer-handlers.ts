// What a core answers to other processes over their links (design 3.2, 4, 5).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Request, Reply } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { Caller, Handlers } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { Acceptor, ReportStore, CoreSetView } from '@stallstall/register';
import type { Vote } from '@stallstall/election';
import type { CoreSetManager } from './core-set-manager.js';
import { setOf, type FleetRecord } from './fleet-record.js';
import type { FleetBootstrap } from './fleet-bootstrap.js';
import type { MembershipTable } from './membership-table.js';
import type { MemberRegistration } from './member-registration.js';
import type { ChangeSubscribers } from './change-subscribers.js';
import type { VersionStore } from './version-store.js';
import type { CoreVoteStore } from './vote-store.js';

export type HandlerParts = Readonly<{
  node: Node;
  cells: Acceptor;
  notes: ReportStore;
  votes: Pick<CoreVoteStore, 'epochs'>;
  record: FleetRecord;
  /** Where this core stands, if the set of cores may change. */
  standing: CoreSetView | undefined;
  subscriptions: ChangeSubscribers;
  versions: Pick<VersionStore, 'earlier'>;
  formation: FleetBootstrap;
  table: MembershipTable;
  coreSet: Option.Option<CoreSetManager>;
  registered: Option.Option<MemberRegistration>;
  puts: () => number;
  /** The version that this core's disk holds under a key; 0 when it holds none. */
  versionOf: (key: string) => number;
  membershipVersion: () => number;
}>;

/** The number of the set that a core stands at, where it may change (design 4.8). */
export function currentSet(standing: CoreSetView | undefined): Readonly<{ set?: number }> {
  return standing === undefined || standing.number() < 0 ? {} : { set: standing.number() };
}

/** What is noted counts for the set under which it was told: by who stands there before and after the sync (design 4.8). */
export async function storeReport(notes: ReportStore, standing: CoreSetView | undefined, ask: Request<'note'>): Promise<Reply<'note'>> {
  if (standing === undefined) return notes.store(ask);
  const { set, ...told } = ask;
  const newer = standing.newerThan(set ?? 0);
  const elsewhere: Reply<'note'> = { ready: false, floors: {}, ...(newer === undefined ? {} : { newer }) };
  if (set !== standing.number()) return elsewhere;
  const reply = await notes.store(told);
  return set === standing.number() ? reply : elsewhere;
}

/** This core's own votes, and those of edges as far as its cells hold them. */
async function votedEpochs(votes: Pick<CoreVoteStore, 'epochs'>, cells: Acceptor): Promise<Record<string, number>> {
  const epochs: Record<string, number> = { ...(await votes.epochs()) };
  for (const cell of cells.cells()) {
    const [kind, service] = cell.key.split('/');
    const vote = cell.state.accepted?.value as Partial<Vote> | undefined;
    if (kind === 'vote' && service !== undefined && typeof vote?.epoch === 'number')
      epochs[service] = Math.max(vote.epoch, epochs[service] ?? 0);
  }
  return epochs;
}

function greeting({ node, record, coreSet, formation }: HandlerParts): NonNullable<Handlers['hello']> {
  return async function hello(ask, caller) {
    const reply = await (node.handlers.hello as NonNullable<Handlers['hello']>)(ask, caller);
    formation.onHelloReceived(ask);
    const known = record.current();
    if (Option.isNone(known)) return { ...reply, fleet: '', founding: '', cores: [] };
    if (known.value.stage !== 'formed') return { ...reply, fleet: '', founding: known.value.fleet, cores: [] };
    return {
      ...reply,
      fleet: known.value.fleet,
      founding: known.value.fleet,
      cores: known.value.cores.map((core) => quorum.seat(node.membership().value, core.node) ?? core),
      ...(Option.isSome(coreSet) ? { set: setOf(known.value) } : {}),
    };
  };
}

function copying({ cells, notes, votes, standing }: HandlerParts): NonNullable<Handlers['copy']> {
  return async function copy(ask) {
    const at = currentSet(standing);
    const page = await cells.page(ask.after);
    return {
      ready: Either.isRight(page) && cells.ready() && (standing === undefined || at.set !== undefined),
      ...at,
      votes: await votedEpochs(votes, cells),
      notes: notes.snapshot(),
      ...(Either.isRight(page) ? page.right : { entries: [], next: '' }),
    };
  };
}

/** Pushes changes to whoever asks, and counts its acknowledgements (design 5.2). */
function watching(parts: HandlerParts): NonNullable<Handlers['watch']> {
  const { node, cells, subscriptions } = parts;
  return function watch(ask, caller) {
    const entry = subscriptions.subscribe(cells, ask, caller);
    return {
      ready: cells.ready(),
      number: entry?.number ?? 0,
      configuration: parts.versionOf('configuration'),
      membership: parts.membershipVersion(),
      puts: parts.puts(),
      superseded: ask.incarnation > 0 && node.isStale(ask.node, ask.incarnation),
    };
  };
}

function leasing({ cells, subscriptions, registered, standing }: HandlerParts) {
  return async function lease(ask: Request<'lease'>, caller: Caller): Promise<Reply<'lease'>> {
    if (Option.isNone(registered)) throw new Error('this fleet holds no leases');
    subscriptions.subscribe(cells, ask, caller);
    const reply = await registered.value.lessor.grant(ask);
    // It may have waited for this core to open: what is watched is handed over before the reply.
    if (reply.ready) subscriptions.subscribe(cells, ask, caller);
    const newer = standing?.newerThan(ask.set ?? 0);
    const at = currentSet(standing);
    return { ...reply, ready: reply.ready && at.set !== undefined, ...at, ...(newer === undefined ? {} : { newer }) };
  };
}

function create(parts: HandlerParts): Handlers {
  const { node, cells, notes, standing, versions, formation, table, coreSet, registered } = parts;
  return {
    ...node.handlers,
    hello: greeting(parts),
    form: formation.handleFormRequest,
    copy: copying(parts),
    adopt: async (ask) => (Option.isSome(coreSet) ? coreSet.value.adopt(ask) : { adopted: false, silent: [] }),
    prepare: cells.prepare,
    accept: cells.accept,
    look: cells.look,
    watch: watching(parts),
    join: async (ask) => (Option.isSome(coreSet) ? coreSet.value.join(ask) : table.join(ask)),
    note: (ask) => storeReport(notes, standing, ask),
    earlier: versions.earlier,
    usageLook: (ask) => notes.usageOf(ask.window),
    spread: async function spread(ask) {
      const taken = Option.isSome(registered) && (await registered.value.mergeBeats(ask.beats));
      return { taken: taken && cells.ready() };
    },
    lease: leasing(parts),
  };
}

export const peerHandlers = { create } as const;
