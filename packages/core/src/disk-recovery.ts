/** Brings a core back to the fleet that its disk names, or as one that lost its disk (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { heartbeatMilliseconds } from '@stallstall/node';
import { diskFormat } from './data-folder.js';
import type { FleetBootstrapParts } from './fleet-bootstrap.js';
import { coreSetOf, type FleetRecord } from './fleet-record.js';
import type { DiscoveredCores } from './discovered-cores.js';

/** @internal */
export type DiskRecovery = Readonly<{
  /** Answers ballots again once a majority of the fleet was found and has not heard of later puts than the disk holds. */
  reopen: () => Promise<void>;
  /** A blank disk in a formed fleet has been lost: it answers no ballot before it holds what all the others hold. */
  rebuildFromPeers: (known: FleetRecord) => Promise<void>;
  /** Another process has heard that this disk had taken so many puts. */
  observeKnownPuts: (puts: number) => void;
}>;

const reopenPollMilliseconds = 10;

/**
 * @param node - this core's id
 * @param becomeFormed - begins to answer as a core of a formed fleet
 */
function create(
  runtime: Runtime,
  node: string,
  parts: FleetBootstrapParts,
  cores: DiscoveredCores,
  becomeFormed: (known: FleetRecord) => Promise<void>,
): DiskRecovery {
  const { cells, disk, recordStore: record, transfer } = parts;
  let isCopying = false;
  let knownPuts = 0;

  function isOpening(): boolean {
    return !parts.stopped() && !cells.ready();
  }

  async function copyFleet(known: FleetRecord): Promise<void> {
    if (isCopying) return;
    isCopying = true;
    while (!(await record.save(known))) await runtime.clock.sleep(heartbeatMilliseconds);
    parts.node.setFleet(known.fleet);
    runtime.log('core.copying', { fleet: known.fleet });
    const epochs: Record<string, number> = { ...(await parts.votes.epochs()) };
    for (const other of known.cores) {
      if (other.node !== node) await transfer.copyFrom(other, Option.none, epochs);
    }
    await transfer.abstain(epochs);
    while (isOpening()) {
      await becomeFormed(known);
      await runtime.clock.sleep(heartbeatMilliseconds);
    }
  }

  /** Goes on as a core that lost its disk; resolves to false when that could not be written down. */
  async function startAsLost(known: FleetRecord): Promise<boolean> {
    runtime.log('core.old-disk', { puts: disk.puts(), known: knownPuts });
    const coreSet = parts.coreSet();
    if (Option.isNone(coreSet)) {
      await copyFleet({ ...known, stage: 'copying' });
      return true;
    }
    if (!(await coreSet.value.abandonDisk())) return false;
    coreSet.value.onFleetFound(known.fleet, coreSetOf(known));
    return true;
  }

  /** Resolves to true once there is nothing more to do. */
  async function tryReopen(known: FleetRecord): Promise<boolean> {
    // A disk that has taken fewer puts than others have heard of is an old copy: as good as lost.
    if (knownPuts > disk.puts()) return startAsLost(known);
    if (!cores.includesMajority(known)) return false;
    if (known.format === diskFormat) parts.open(known);
    else await becomeFormed(known);
    return false;
  }

  async function reopen(): Promise<void> {
    while (isOpening()) {
      // Looked at anew each time: a later set may have become known, one without this core among them.
      const current = record.current();
      if (Option.isNone(current) || current.value.stage !== 'formed') return;
      if (await tryReopen(current.value)) return;
      // A disk that takes nothing refuses at once: without this wait nothing else of the process would run.
      if (!cells.ready()) await runtime.clock.sleep(reopenPollMilliseconds);
    }
  }

  function observePuts(puts: number): void {
    knownPuts = Math.max(knownPuts, puts);
  }

  return { reopen, rebuildFromPeers: copyFleet, observeKnownPuts: observePuts };
}

/** @internal */
export const diskRecovery = { create } as const;
