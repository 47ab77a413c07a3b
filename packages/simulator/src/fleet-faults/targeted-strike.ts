/** A fault that strikes the node that acted last for the fleet. */
import type { Hunt, Storm } from './fault-state.js';
import { cutMachine, killEdge, restartCore } from './machine-faults.js';
import type { Fleet, CoreSlot, EdgeSlot } from '../fleet.js';
import type { Process } from '../world.js';
import { between } from '../draws.js';

export function callsOf(fleet: Fleet, duty: Hunt['duty']): number {
  return duty === 'usage' ? fleet.platformStore.usage.length : fleet.platformStore.promotions.length;
}

/** The process that made the last call for a duty: the holder, or whoever proposed last for the service. */
function lastActor(fleet: Fleet, duty: Hunt['duty']): CoreSlot | EdgeSlot | undefined {
  const name =
    duty === 'usage'
      ? fleet.platformStore.usage.at(-1)?.holder
      : fleet.world.logs
          .findLast(
            (line) => line.event === 'election.propose' && line.fields['service'] === fleet.platformStore.promotions.at(-1)?.service,
          )
          ?.process.replace('/agent', '');
  return [...fleet.cores, ...fleet.edges].find((slot) => slot.name === name);
}

/** Strikes the node that acted last as soon as its call has reached the platform. */
export function followHunt(fleet: Fleet, storm: Storm): void {
  const hunt = storm.hunt;
  if (hunt === undefined || callsOf(fleet, hunt.duty) <= hunt.calls) return;
  storm.hunt = undefined;
  const actor = lastActor(fleet, hunt.duty);
  if (actor === undefined) return;
  const process = 'agent' in actor ? actor.agent.process : actor.process;
  const milliseconds = between(fleet, 500, 6_000);
  storm.reported.push(`${Math.round(fleet.world.now())} ${hunt.how} of ${actor.name}, which acted last for ${hunt.duty}`);
  if (hunt.how === 'cut') cutMachine(fleet, actor.machine, 'both', milliseconds);
  else if (hunt.how === 'freeze' && process?.alive() === true) freeze(fleet, storm, process, milliseconds);
  else if ('agent' in actor) killEdge(fleet, actor, 'agent', milliseconds);
  else restartCore(fleet, fleet.cores.indexOf(actor), milliseconds);
}

export function freeze(fleet: Fleet, storm: Storm, process: Process, milliseconds: number): void {
  storm.struckAt.set(process, fleet.world.now());
  fleet.world.freeze(process, milliseconds);
}
