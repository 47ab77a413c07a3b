/**
 * Sends the heartbeats that this core received to the other cores, and has a majority of cores confirm that a member is draining or has
 * left (design 4.7, 7.14).
 */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { MemberRegistry, ReceivedHeartbeat } from '@stallstall/member-registry';
import type { Node } from '@stallstall/node';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';

export type RegistryBroadcaster = Readonly<{
  /** Sends new records to all other cores, and the whole registry to each core that may have missed some. */
  broadcast: () => void;
  /** Sends a member's record to the other cores; resolves to true once a majority of cores, including this one, has it. */
  confirm: (member: string) => Promise<boolean>;
}>;

type BroadcasterState = Readonly<{
  runtime: Runtime;
  node: Node;
  registry: MemberRegistry;
  /** Cores that have received the whole registry over a link that has stayed open since. */
  upToDate: Set<string>;
  /** Cores to which the whole registry is being sent. */
  catchingUp: Set<string>;
}>;

const sendTimeoutMilliseconds = 1_000;
/** Below 1 s, the time that a member waits for the acknowledgement. */
const confirmTimeoutMilliseconds = 800;
/** Delay before the whole registry is sent again to a core that did not accept it. */
const retryDelayMilliseconds = 1_000;

function otherCores({ node }: BroadcasterState): readonly string[] {
  return node
    .cores()
    .map((core) => core.node)
    .filter((core) => core !== node.settings.node);
}

async function send(link: Peer, heartbeats: readonly ReceivedHeartbeat[], timeoutMilliseconds: number): Promise<boolean> {
  const reply = await link.call('spread', { beats: [...heartbeats] }, timeoutMilliseconds);
  return Option.isSome(reply) && reply.value.taken;
}

async function sendRecent(
  { upToDate }: BroadcasterState,
  core: string,
  link: Peer,
  heartbeats: readonly ReceivedHeartbeat[],
): Promise<void> {
  const isAccepted = await send(link, heartbeats, sendTimeoutMilliseconds);
  if (!isAccepted) upToDate.delete(core);
}

async function sendAll({ runtime, registry, upToDate, catchingUp }: BroadcasterState, core: string, link: Peer): Promise<void> {
  catchingUp.add(core);
  const isAccepted = await send(link, registry.snapshot(), sendTimeoutMilliseconds);
  if (isAccepted) upToDate.add(core);
  // A core that is still starting accepts nothing: it is tried again after a delay instead of at every broadcast.
  else await runtime.clock.sleep(retryDelayMilliseconds);
  catchingUp.delete(core);
}

function broadcast(state: BroadcasterState): void {
  const { node, registry, upToDate, catchingUp } = state;
  const recent = registry.takeRecentHeartbeats();
  for (const core of otherCores(state)) {
    const link = node.peerOf(core);
    if (Option.isNone(link) || !link.value.isConnected()) upToDate.delete(core);
    else if (!upToDate.has(core) && !catchingUp.has(core)) void sendAll(state, core, link.value);
    else if (recent.length > 0) void sendRecent(state, core, link.value, recent);
  }
}

/** Resolves to true once `needed` of the confirmations are true, and to false if fewer are when all have been resolved. */
function resolveOnEnough(confirmations: ReadonlyArray<Promise<boolean>>, needed: number): Promise<boolean> {
  return new Promise(function count(resolve) {
    let confirmed = 0;
    let outstanding = confirmations.length;
    if (needed <= 0 || outstanding === 0) resolve(needed <= 0);
    for (const confirmation of confirmations) {
      void confirmation.then(function onConfirmation(isConfirmed) {
        outstanding -= 1;
        if (isConfirmed) confirmed += 1;
        if (confirmed >= needed) resolve(true);
        else if (outstanding === 0) resolve(false);
      });
    }
  });
}

function confirm(state: BroadcasterState, member: string): Promise<boolean> {
  const { node, registry } = state;
  const heartbeats = registry.snapshot().filter((heartbeat) => heartbeat.entry.member === member);
  const others = otherCores(state);
  const isCore = others.length < node.cores().length;
  const needed = quorum.majority(node.cores().length) - (isCore ? 1 : 0);
  const confirmations = others.map(async function confirmAt(core) {
    const link = node.peerOf(core);
    return Option.isSome(link) && (await send(link.value, heartbeats, confirmTimeoutMilliseconds));
  });
  return resolveOnEnough(confirmations, needed);
}

function create(runtime: Runtime, node: Node, registry: MemberRegistry): RegistryBroadcaster {
  const state: BroadcasterState = { runtime, node, registry, upToDate: new Set(), catchingUp: new Set() };
  return {
    broadcast: () => broadcast(state),
    confirm: (member) => confirm(state, member),
  };
}

export const registryBroadcaster = { create } as const;
