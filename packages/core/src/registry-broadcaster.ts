/** Heartbeats that this core received go to the other cores; what a member builds on is confirmed by a majority (design 4.7, 7.14). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import type { MemberRegistry, ReceivedHeartbeat } from '@stallstall/member-registry';
import type { Node } from '@stallstall/node';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';

export type RegistryBroadcaster = Readonly<{
  /** Sends what is new to all other cores, and everything to whoever has missed some of it. */
  broadcast: () => void;
  /** Sends what is known of a member to the others; resolves to true once a majority of cores, this one included, knows it. */
  confirm: (member: string) => Promise<boolean>;
}>;

type BroadcasterState = Readonly<{
  runtime: Runtime;
  node: Node;
  registry: MemberRegistry;
  /** Cores that have been sent everything, over a link that has been open since. */
  upToDate: Set<string>;
  /** Cores to which everything is on its way. */
  catchingUp: Set<string>;
}>;

const sendMilliseconds = 1_000;
/** A member gives an acknowledgement one second. */
const confirmMilliseconds = 800;
/** Everything is sent again to a core that did not take it after so long. */
const retryMilliseconds = 1_000;

function otherCores({ node }: BroadcasterState): readonly string[] {
  return node
    .cores()
    .map((core) => core.node)
    .filter((core) => core !== node.settings.node);
}

async function send(link: Peer, beats: readonly ReceivedHeartbeat[], milliseconds: number): Promise<boolean> {
  const reply = await link.call('spread', { beats: [...beats] }, milliseconds);
  return Option.isSome(reply) && reply.value.taken;
}

async function sendRecent({ upToDate }: BroadcasterState, core: string, link: Peer, beats: readonly ReceivedHeartbeat[]): Promise<void> {
  const isTaken = await send(link, beats, sendMilliseconds);
  if (!isTaken) upToDate.delete(core);
}

async function sendAll({ runtime, registry, upToDate, catchingUp }: BroadcasterState, core: string, link: Peer): Promise<void> {
  catchingUp.add(core);
  const isTaken = await send(link, registry.snapshot(), sendMilliseconds);
  if (isTaken) upToDate.add(core);
  // One that is there and not open yet takes nothing: it is asked again in a while, not at every broadcast.
  else await runtime.clock.sleep(retryMilliseconds);
  catchingUp.delete(core);
}

function broadcast(state: BroadcasterState): void {
  const { node, registry, upToDate, catchingUp } = state;
  const recent = registry.takeRecentHeartbeats();
  for (const core of otherCores(state)) {
    const link = node.peerOf(core);
    if (Option.isNone(link) || !link.value.connected()) upToDate.delete(core);
    else if (!upToDate.has(core) && !catchingUp.has(core)) void sendAll(state, core, link.value);
    else if (recent.length > 0) void sendRecent(state, core, link.value, recent);
  }
}

/** Resolves to true once so many of these confirmations are, to false once too few can be. */
function enoughOf(confirmations: ReadonlyArray<Promise<boolean>>, needed: number): Promise<boolean> {
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
  const beats = registry.snapshot().filter((one) => one.entry.member === member);
  const others = otherCores(state);
  const isCore = others.length < node.cores().length;
  const needed = quorum.majority(node.cores().length) - (isCore ? 1 : 0);
  const confirmations = others.map(async function confirmAt(core) {
    const link = node.peerOf(core);
    return Option.isSome(link) && (await send(link.value, beats, confirmMilliseconds));
  });
  return enoughOf(confirmations, needed);
}

function create(runtime: Runtime, node: Node, registry: MemberRegistry): RegistryBroadcaster {
  const state: BroadcasterState = { runtime, node, registry, upToDate: new Set(), catchingUp: new Set() };
  return {
    broadcast: () => broadcast(state),
    confirm: (member) => confirm(state, member),
  };
}

export const registryBroadcaster = { create } as const;
