/** Founds a fleet, once: one core proposes it to all others that it found, and each writes it to its disk before it agrees (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import type { Reply, Request, NodeRecord } from '@stallstall/message';
import { heartbeatMilliseconds } from '@stallstall/node';
import { peer } from '@stallstall/peer';
import type { FleetBootstrapParts, FleetBootstrapSettings } from './fleet-bootstrap.js';
import type { FleetRecord } from './fleet-record.js';
import type { DiscoveredCores } from './discovered-cores.js';

/** @internal */
export type Founding = Readonly<{
  /** Proposes a fleet, if that is up to this core, until there is one. */
  run: () => Promise<void>;
  /** Handles another core's proposal of a fleet, or its report that the fleet is formed. */
  handleForm: (request: Request<'form'>) => Promise<Reply<'form'>>;
}>;

/** Whether this core is to propose a fleet of these cores now. */
type ProposalRule = (everyone: readonly NodeRecord[]) => boolean;

/** How long no further core must have appeared before the fleet is proposed; lets cores that start a little later take part. */
const gatherMilliseconds = 700;
/** Time for a new link to another founder to open before the call is sent on it. */
const dialMilliseconds = 50;
const formMilliseconds = 1_000;

function byName(left: NodeRecord, right: NodeRecord): number {
  return left.node < right.node ? -1 : 1;
}

/** The core at the lowest founder address proposes, once all founders were found and no further core has appeared for a while. */
function proposeOnceGathered(runtime: Runtime, ownAddress: string, founderAddresses: readonly string[]): ProposalRule {
  let lastNames = '';
  let unchangedSince = runtime.clock.now();
  return function mayPropose(everyone) {
    const names = everyone.map((seat) => seat.node).join(' ');
    if (names !== lastNames) {
      lastNames = names;
      unchangedSince = runtime.clock.now();
    }
    const isLowest = ownAddress === [...founderAddresses].sort()[0];
    const areAllFound = founderAddresses.every((address) => everyone.some((seat) => seat.address === address));
    return isLowest && areAllFound && runtime.clock.now() - unchangedSince >= gatherMilliseconds;
  };
}

/** Where an operator configures the number of cores, the core with the lowest name proposes once that many were found. */
function proposeOnceComplete({ cores, node }: FleetBootstrapSettings): ProposalRule {
  return (everyone) => everyone.length === cores && everyone[0]?.node === node;
}

/** Sends one step of the founding to all other cores; resolves to true if all agreed. */
async function sendToFounders(
  runtime: Runtime,
  fleet: FleetRecord,
  others: readonly NodeRecord[],
  step: 'propose' | 'formed',
): Promise<boolean> {
  const replies = await Promise.all(
    others.map(async function send(core) {
      const link = peer.dial(runtime, identifiers.address(core.address));
      await runtime.clock.sleep(dialMilliseconds);
      const reply = await link.call('form', { step, fleet: fleet.fleet, cores: [...fleet.cores] }, formMilliseconds);
      link.close();
      return Option.isSome(reply) && reply.value.agreed;
    }),
  );
  return replies.every(Boolean);
}

/** @param saveFormedAndOpen - saves the record as that of a formed fleet and starts to serve */
function create(
  runtime: Runtime,
  settings: FleetBootstrapSettings,
  parts: FleetBootstrapParts,
  cores: DiscoveredCores,
  saveFormedAndOpen: (record: FleetRecord) => Promise<void>,
): Founding {
  const { node, disk, recordStore } = parts;
  const mayPropose = Option.isSome(parts.founding)
    ? proposeOnceGathered(runtime, settings.address, parts.founding.value.founderAddresses)
    : proposeOnceComplete(settings);

  /** The fleet that this core has already agreed to, or a new one; none when the new one could not be synced. */
  async function proposedFleet(everyone: readonly NodeRecord[]): Promise<Option.Option<FleetRecord>> {
    const current = recordStore.current();
    if (Option.isSome(current)) return current;
    const proposed: FleetRecord = { fleet: runtime.randomness.token(), node: settings.node, cores: everyone, stage: 'founding' };
    return (await recordStore.save(proposed)) ? Option.some(proposed) : Option.none;
  }

  async function propose(): Promise<void> {
    const others = cores.recent();
    const everyone = [node.ownRecord(), ...others.map((core) => core.seat)].sort(byName);
    if (!mayPropose(everyone) || others.some((core) => core.fleet !== '')) return;
    const fleet = await proposedFleet(everyone);
    if (Option.isNone(fleet)) return;
    const founders = fleet.value.cores.filter((core) => core.node !== settings.node);
    if (!(await sendToFounders(runtime, fleet.value, founders, 'propose'))) return;
    await saveFormedAndOpen(fleet.value);
    await sendToFounders(runtime, fleet.value, founders, 'formed');
  }

  async function run(): Promise<void> {
    while (!parts.stopped() && (recordStore.stage() === 'blank' || recordStore.stage() === 'founding')) {
      await runtime.clock.sleep(heartbeatMilliseconds);
      await propose();
    }
  }

  async function handleForm({ fleet, cores: founders, step }: Request<'form'>): Promise<Reply<'form'>> {
    const isBlank = recordStore.stage() === 'blank';
    if (isBlank && Option.isSome(disk.discardedStoreReason())) return { agreed: false };
    if (isBlank && step === 'propose') {
      const isSaved = await recordStore.save({ fleet, node: settings.node, cores: founders, stage: 'founding' });
      if (!isSaved) return { agreed: false };
    }
    const current = recordStore.current();
    if (Option.isNone(current) || current.value.fleet !== fleet) return { agreed: false };
    if (step === 'formed' && current.value.stage === 'founding') await saveFormedAndOpen(current.value);
    return { agreed: true };
  }

  return { run, handleForm };
}

/** @internal */
export const fleetFounding = { create } as const;
