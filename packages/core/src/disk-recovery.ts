/** Restarts a core on its disk, or rebuilds the disk from the other cores if it was lost or is an old copy (design 4.3). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Runtime } from '@stallstall/kernel';
import { heartbeatMilliseconds } from '@stallstall/node';
import { diskFormat } from './data-folder.js';
import type { FleetBootstrapParts } from './fleet-bootstrap.js';
import { coreSetOf, type FleetRecord } from './fleet-record.js';
import type { DiscoveredCores } from './discovered-cores.js';

/** @internal */
export type DiskRecovery = Readonly<{
  /** Serves ballots again once a majority of the fleet was found and none of it knows of a later put than this disk holds. */
  reopen: () => Promise<void>;
  /** Copies the state of all other cores to a lost disk, which is blank although its fleet is formed, and only then serves ballots. */
  rebuildFromPeers: (record: FleetRecord) => Promise<void>;
  /** Called with the number of puts that another process knows this disk to have synced. */
  observeKnownPuts: (puts: number) => void;
}>;

const reopenPollMilliseconds = 10;

/**
 * @param node - this core's id
 * @param saveFormedAndOpen - saves the record as that of a formed fleet and starts to serve
 */
function create(
  runtime: Runtime,
  node: string,
  parts: FleetBootstrapParts,
  cores: DiscoveredCores,
  saveFormedAndOpen: (record: FleetRecord) => Promise<void>,
): DiskRecovery {
  const { cells, disk, recordStore, transfer } = parts;
  let isRebuilding = false;
  let knownPuts = 0;

  function isWaitingToOpen(): boolean {
    return !parts.stopped() && !cells.ready();
  }

  async function rebuildFromPeers(record: FleetRecord): Promise<void> {
    if (isRebuilding) return;
    isRebuilding = true;
    while (!(await recordStore.save(record))) await runtime.clock.sleep(heartbeatMilliseconds);
    parts.node.setFleet(record.fleet);
    runtime.log('core.copying', { fleet: record.fleet });
    const epochs: Record<string, number> = { ...(await parts.votes.epochs()) };
    for (const other of record.cores) {
      if (other.node !== node) await transfer.copyFrom(other, Option.none, epochs);
    }
    await transfer.abstain(epochs);
    while (isWaitingToOpen()) {
      await saveFormedAndOpen(record);
      await runtime.clock.sleep(heartbeatMilliseconds);
    }
  }

  /** Treats the disk as lost; resolves to false when that could not be synced. */
  async function recoverLostDisk(record: FleetRecord): Promise<boolean> {
    runtime.log('core.old-disk', { puts: disk.puts(), known: knownPuts });
    const coreSet = parts.coreSet();
    if (Option.isNone(coreSet)) {
      await rebuildFromPeers({ ...record, stage: 'copying' });
      return true;
    }
    if (!(await coreSet.value.abandonDisk())) return false;
    coreSet.value.onFleetFound(record.fleet, coreSetOf(record));
    return true;
  }

  /** Resolves to true once no further attempt is needed. */
  async function tryReopen(record: FleetRecord): Promise<boolean> {
    // Fewer puts than other processes know of mean that the disk is an old copy, which may lack promised ballots: it counts as lost.
    if (knownPuts > disk.puts()) return recoverLostDisk(record);
    if (!cores.includesMajority(record)) return false;
    if (record.format === diskFormat) parts.open(record);
    else await saveFormedAndOpen(record);
    return false;
  }

  async function reopen(): Promise<void> {
    while (isWaitingToOpen()) {
      // Read again in each iteration, since this core may meanwhile have learnt of a newer set, possibly one that does not list it.
      const current = recordStore.current();
      if (Option.isNone(current) || current.value.stage !== 'formed') return;
      if (await tryReopen(current.value)) return;
      // A failing disk refuses writes at once: without this sleep the loop would starve the rest of the process.
      if (!cells.ready()) await runtime.clock.sleep(reopenPollMilliseconds);
    }
  }

  function observeKnownPuts(puts: number): void {
    knownPuts = Math.max(knownPuts, puts);
  }

  return { reopen, rebuildFromPeers, observeKnownPuts };
}

/** @internal */
export const diskRecovery = { create } as const;
