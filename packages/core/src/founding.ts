/** Forms the fleet, once: one core proposes it to all that were found, and each keeps it before it agrees (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime } from '@stallstall/kernel';
import type { Reply, Request, Seat } from '@stallstall/message';
import { heartbeatMilliseconds } from '@stallstall/node';
import { peer } from '@stallstall/peer';
import type { FleetBootstrapParts, FleetBootstrapSettings } from './fleet-bootstrap.js';
import type { FleetRecord } from './fleet-record.js';
import type { DiscoveredCores } from './discovered-cores.js';

/** @internal */
export type Founding = Readonly<{
  /** Proposes a fleet until there is one. */
  run: () => Promise<void>;
  /** Another core proposes a fleet, or says that it is formed. */
  handleForm: (request: Request<'form'>) => Promise<Reply<'form'>>;
}>;

/** Whether this core is to propose a fleet of all these now. */
type ProposalRule = (everyone: readonly Seat[]) => boolean;

/** How long the founder waits for cores that start late. */
const gatherMilliseconds = 700;
/** A link to a founder is given so long to open before it is asked. */
const dialMilliseconds = 50;
const formMilliseconds = 1_000;

function byName(left: Seat, right: Seat): number {
  return left.node < right.node ? -1 : 1;
}

/** The lowest founder proposes, once all founders were found and nobody new has appeared for a while. */
function proposeOnceGathered(runtime: Runtime, ownAddress: string, founders: readonly string[]): ProposalRule {
  let gathered = '';
  let gatheredSince = runtime.clock.now();
  return function mayPropose(everyone) {
    const names = everyone.map((seat) => seat.node).join(' ');
    if (names !== gathered) {
      gathered = names;
      gatheredSince = runtime.clock.now();
    }
    const isLowest = ownAddress === [...founders].sort()[0];
    const areAllFound = founders.every((founder) => everyone.some((seat) => seat.address === founder));
    return isLowest && areAllFound && runtime.clock.now() - gatheredSince >= gatherMilliseconds;
  };
}

/** Where an operator names how many cores there are: the lowest proposes once all were found. */
function proposeOnceComplete({ cores: cores, node }: FleetBootstrapSettings): ProposalRule {
  return (everyone) => everyone.length === cores && everyone[0]?.node === node;
}

/** Sends one step of the founding to all other cores; resolves to true when all agreed. */
async function sendToFounders(runtime: Runtime, fleet: FleetRecord, others: readonly Seat[], step: 'propose' | 'formed'): Promise<boolean> {
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

/** @param becomeFormed - begins to answer as a core of a formed fleet */
function create(
  runtime: Runtime,
  settings: FleetBootstrapSettings,
  parts: FleetBootstrapParts,
  cores: DiscoveredCores,
  becomeFormed: (known: FleetRecord) => Promise<void>,
): Founding {
  const { node, disk, recordStore: record } = parts;
  const mayPropose = Option.isSome(parts.founding)
    ? proposeOnceGathered(runtime, settings.address, parts.founding.value.founderAddresses)
    : proposeOnceComplete(settings);

  /** The fleet that this core has agreed to or proposes; none when it could not be written down. */
  async function proposedFleet(everyone: readonly Seat[]): Promise<Option.Option<FleetRecord>> {
    const current = record.current();
    if (Option.isSome(current)) return current;
    const proposed: FleetRecord = { fleet: runtime.randomness.token(), node: settings.node, cores: everyone, stage: 'founding' };
    return (await record.save(proposed)) ? Option.some(proposed) : Option.none;
  }

  async function propose(): Promise<void> {
    const others = cores.recent();
    const everyone = [node.ownSeat(), ...others.map((core) => core.seat)].sort(byName);
    if (!mayPropose(everyone) || others.some((core) => core.fleet !== '')) return;
    const fleet = await proposedFleet(everyone);
    if (Option.isNone(fleet)) return;
    const founders = fleet.value.cores.filter((core) => core.node !== settings.node);
    if (!(await sendToFounders(runtime, fleet.value, founders, 'propose'))) return;
    await becomeFormed(fleet.value);
    await sendToFounders(runtime, fleet.value, founders, 'formed');
  }

  async function run(): Promise<void> {
    while (!parts.stopped() && (record.stage() === 'blank' || record.stage() === 'founding')) {
      await runtime.clock.sleep(heartbeatMilliseconds);
      await propose();
    }
  }

  async function handleForm({ fleet, cores: founders, step }: Request<'form'>): Promise<Reply<'form'>> {
    const isBlank = record.stage() === 'blank';
    if (isBlank && Option.isSome(disk.lost())) return { agreed: false };
    if (isBlank && step === 'propose') {
      const isKept = await record.save({ fleet, node: settings.node, cores: founders, stage: 'founding' });
      if (!isKept) return { agreed: false };
    }
    const current = record.current();
    if (Option.isNone(current) || current.value.fleet !== fleet) return { agreed: false };
    if (step === 'formed' && current.value.stage === 'founding') await becomeFormed(current.value);
    return { agreed: true };
  }

  return { run, handleForm };
}

/** @internal */
export const fleetFounding = { create } as const;
