/** Planned operations during a run: restarts, drains, retiring a primary, replacing a member, a temporary additional edge. */
import type { PlannedEnd, EdgeDrain } from '../fleet-checks/check-records.js';
import type { Storm } from './fault-state.js';
import { sameMomentMilliseconds, coincidesWithKill } from './machine-faults.js';
import { send } from './configuration-changes.js';
import type { Fleet } from '../fleet.js';
import type { Process } from '../world.js';
import { between, pick } from '../draws.js';

type StoppableSlot = { process: Process | undefined; running: Readonly<{ drain: () => Promise<void> }> | undefined };

/** A planned restart: the process drains and ends, and a new one starts in its place. */
function drainAndRestart(
  fleet: Fleet,
  storm: Storm,
  name: string,
  address: string,
  slot: StoppableSlot,
  restart: () => Promise<void>,
): void {
  const process = slot.process;
  if (process?.alive() !== true || slot.running === undefined || fleet.world.isFrozen(process)) return;
  const end: PlannedEnd = { name, address, at: fleet.world.now(), endedAt: Number.POSITIVE_INFINITY, isUndisturbed: false };
  storm.ends.push(end);
  void slot.running.drain().then(() => {
    if (slot.process !== process || !process.alive()) return;
    end.isUndisturbed = (storm.struckAt.get(process) ?? Number.NEGATIVE_INFINITY) < end.at - sameMomentMilliseconds;
    end.endedAt = fleet.world.now();
    fleet.world.schedule(sameMomentMilliseconds, function checkForKill() {
      if (coincidesWithKill(fleet, name, end.at)) end.isUndisturbed = false;
    });
    fleet.stopSlot(slot);
    fleet.world.schedule(between(fleet, 50, 700), () => void restart());
  });
}

export function plannedRestart(fleet: Fleet, storm: Storm): void {
  const part = pick(fleet, ['proxy', 'proxy', 'agent', 'core'] as const);
  if (part === 'core') {
    const slot = pick(fleet, fleet.cores);
    drainAndRestart(fleet, storm, slot.name, '', slot, () => fleet.startCore(slot));
    return;
  }
  const slot = pick(fleet, fleet.edges);
  drainAndRestart(fleet, storm, `${slot.name}/${part}`, fleet.edgeAddresses(slot).proxy, slot[part], () =>
    part === 'agent' ? fleet.startAgent(slot) : fleet.startProxy(slot),
  );
}

export function retirePrimary(fleet: Fleet, storm: Storm): void {
  const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
  if (slot === undefined || storm.draining.size > 0) return;
  storm.draining.add(slot.place.member);
  void send(fleet, storm, 0);
  fleet.world.schedule(between(fleet, 6_000, 14_000), () => {
    storm.draining.delete(slot.place.member);
    void send(fleet, storm, 1);
  });
}

/**
 * Replaces a member: a new one joins with an empty store and serves reads; the old one drains, is removed from the configuration, and is
 * stopped some time later.
 */
export function replaceMember(fleet: Fleet, storm: Storm): void {
  if (storm.isReplacing || storm.draining.size > 0) return;
  storm.isReplacing = true;
  const service = pick(fleet, fleet.deployment.services);
  const old =
    fleet.world.fraction() < 0.5
      ? fleet.primaryOf(service)
      : pick(
          fleet,
          fleet.members.filter((slot) => slot.place.service === service && slot.isRemoved !== true),
        );
  if (old === undefined) return;
  const slot = fleet.addMember(service, old.place.area);
  void fleet.startMember(slot);
  void send(fleet, storm, 0);
  fleet.world.schedule(between(fleet, 3_000, 6_000), () => {
    storm.draining.add(old.place.member);
    void send(fleet, storm, 1);
  });
  fleet.world.schedule(between(fleet, 9_000, 14_000), () => {
    storm.draining.delete(old.place.member);
    old.isRemoved = true;
    void send(fleet, storm, 2);
  });
  fleet.world.schedule(between(fleet, 15_000, 25_000), () => fleet.stopSlot(old));
}

async function drainAndRecord(fleet: Fleet, storm: Storm, edge: string): Promise<EdgeDrain> {
  const drain: EdgeDrain = {
    edge,
    sentAt: fleet.world.now(),
    acknowledgedAt: Number.POSITIVE_INFINITY,
    undoneAt: Number.POSITIVE_INFINITY,
  };
  storm.drains.push(drain);
  if ((await fleet.sendOperatorCommand('POST', `/v1/nodes/${edge}/drain`, 0)).status === 200) drain.acknowledgedAt = fleet.world.now();
  return drain;
}

export function drainEdge(fleet: Fleet, storm: Storm): void {
  const slot = pick(fleet, fleet.edges);
  const drained = drainAndRecord(fleet, storm, slot.name);
  fleet.world.schedule(
    between(fleet, 2_000, 12_000),
    () =>
      void drained.then((drain) => {
        drain.undoneAt = fleet.world.now();
        return fleet.sendOperatorCommand('DELETE', `/v1/nodes/${slot.name}/drain`, 1);
      }),
  );
}

/** Adds a seventh edge under load, drains it and removes it. */
export function addSpareEdge(fleet: Fleet, storm: Storm): void {
  const slot = fleet.spare;
  if (slot === undefined || storm.isSpareEdgeUsed) return;
  storm.isSpareEdgeUsed = true;
  void fleet.startAgent(slot);
  void fleet.startProxy(slot);
  fleet.world.schedule(between(fleet, 5_000, 9_000), () => void drainAndRecord(fleet, storm, slot.name));
  fleet.world.schedule(between(fleet, 9_500, 11_000), () => void fleet.sendOperatorCommand('DELETE', `/v1/nodes/${slot.name}`, 0));
}
