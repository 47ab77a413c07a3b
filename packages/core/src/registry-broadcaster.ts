// Beats that this core took go to the other cores; what a member builds on is confirmed by a majority of them (design 4.7, 7.14).
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel } from '@stallstall/kernel';
import type { Seat } from '@stallstall/message';
import type { Node } from '@stallstall/node';
import type { Peer } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { MemberRegistry, ReceivedBeat } from '@stallstall/member-registry';

export type RegistryBroadcaster = Readonly<{
  /** Sends what is new to all others, and everything to whoever has missed some of it. */
  broadcast: () => void;
  /** Tells the others where a member stands; right once a majority of cores, this one included, knows it. */
  confirm: (member: string) => Promise<boolean>;
}>;

const spreadMilliseconds = 1_000;
/** A member gives an acknowledgement one second. */
const confirmMilliseconds = 800;
/** Everything is told again to who did not take it after so long. */
const againMilliseconds = 1_000;

function create(kernel: Kernel, node: Node, roster: MemberRegistry): RegistryBroadcaster {
  /** Cores that have been told everything, over a link that has stood since. */
  const informed = new Set<string>();
  /** Cores to which everything is on its way. */
  const informing = new Set<string>();

  function others(): readonly Seat[] {
    return node.cores().filter((core) => core.node !== node.settings.node);
  }

  async function tell(link: Peer, beats: readonly ReceivedBeat[], milliseconds: number): Promise<boolean> {
    const reply = await link.call('spread', { beats: [...beats] }, milliseconds);
    return Option.isSome(reply) && reply.value.taken;
  }

  async function tellNews(core: string, link: Peer, beats: readonly ReceivedBeat[]): Promise<void> {
    if (!(await tell(link, beats, spreadMilliseconds))) informed.delete(core);
  }

  async function tellEverything(core: string, link: Peer): Promise<void> {
    informing.add(core);
    if (await tell(link, roster.all(), spreadMilliseconds)) informed.add(core);
    // One that is there and not open yet takes nothing: it is asked again in a while, not at every look.
    else await kernel.clock.sleep(againMilliseconds);
    informing.delete(core);
  }

  function spread(): void {
    const beats = roster.takeRecent();
    for (const { node: core } of others()) {
      const link = node.peerOf(core);
      if (Option.isNone(link) || !link.value.connected()) informed.delete(core);
      else if (!informed.has(core) && !informing.has(core)) void tellEverything(core, link.value);
      else if (beats.length > 0) void tellNews(core, link.value, beats);
    }
  }

  function confirm(member: string): Promise<boolean> {
    const beats = roster.all().filter((one) => one.entry.member === member);
    const asked = others();
    const isCore = asked.length < node.cores().length;
    const needed = quorum.majority(node.cores().length) - (isCore ? 1 : 0);
    return new Promise((resolve) => {
      let taken = 0;
      let left = asked.length;
      function count(done: boolean): void {
        left -= 1;
        if (done) taken += 1;
        if (taken >= needed) resolve(true);
        else if (left === 0) resolve(false);
      }
      if (needed <= 0 || left === 0) resolve(needed <= 0);
      for (const { node: core } of asked) {
        const link = node.peerOf(core);
        if (Option.isNone(link)) count(false);
        else void tell(link.value, beats, confirmMilliseconds).then(count);
      }
    });
  }

  return { broadcast: spread, confirm };
}

export const registryBroadcaster = { create } as const;
