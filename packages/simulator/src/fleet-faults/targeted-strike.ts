/** A fault that strikes the node that last acted in a singleton role. */
import type { PendingStrike, Storm } from './fault-state.js';
import { cutMachine, killEdge, restartCore } from './machine-faults.js';
import type { Fleet, CoreSlot, EdgeSlot } from '../fleet.js';
import type { Process } from '../world.js';
import { between } from '../draws.js';

export function callCount(fleet: Fleet, role: PendingStrike['role']): number {
  return role === 'usage' ? fleet.platformStore.usage.length : fleet.platformStore.promotions.length;
}

/** The node that made the last call of a role: the lease holder for usage, or the node that last proposed a candidate for the service. */
function lastActor(fleet: Fleet, role: PendingStrike['role']): CoreSlot | EdgeSlot | undefined {
  const name =
    role === 'usage'
      ? fleet.platformStore.usage.at(-1)?.holder
      : fleet.world.logs
          .findLast(
            (line) => line.event === 'election.propose' && line.fields['service'] === fleet.platformStore.promotions.at(-1)?.service,
          )
          ?.process.replace('/agent', '');
  return [...fleet.cores, ...fleet.edges].find((slot) => slot.name === name);
}

/** Strikes the node that acted last as soon as its call has reached the platform. */
export function applyPendingStrike(fleet: Fleet, storm: Storm): void {
  const strike = storm.pendingStrike;
  if (strike === undefined || callCount(fleet, strike.role) <= strike.calls) return;
  storm.pendingStrike = undefined;
  const actor = lastActor(fleet, strike.role);
  if (actor === undefined) return;
  const process = 'agent' in actor ? actor.agent.process : actor.process;
  const milliseconds = between(fleet, 500, 6_000);
  storm.reported.push(`${Math.round(fleet.world.now())} ${strike.how} of ${actor.name}, which acted last in role ${strike.role}`);
  if (strike.how === 'cut') cutMachine(fleet, actor.machine, 'both', milliseconds);
  else if (strike.how === 'freeze' && process?.alive() === true) freeze(fleet, storm, process, milliseconds);
  else if ('agent' in actor) killEdge(fleet, actor, 'agent', milliseconds);
  else restartCore(fleet, fleet.cores.indexOf(actor), milliseconds);
}

export function freeze(fleet: Fleet, storm: Storm, process: Process, milliseconds: number): void {
  storm.struckAt.set(process, fleet.world.now());
  fleet.world.freeze(process, milliseconds);
}
