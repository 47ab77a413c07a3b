/** Placement configurations that an operator sends during a run, valid and invalid. */
import { type PlacementConfiguration, placements, statementKinds } from '@stallstall/placement';
import * as Either from 'fp-ts/lib/Either.js';
import type { SentConfiguration } from '../fleet-checks/check-records.js';
import { type Storm, secondKey } from './fault-state.js';
import type { Fleet } from '../fleet.js';
import { between } from '../draws.js';

/** Builds the configuration for the present state of the run: second key, draining members, connection limit, weights and rows. */
function buildConfiguration(fleet: Fleet, storm: Storm): Readonly<{ configuration: PlacementConfiguration; markerKey: string }> {
  const draft = fleet.defaultConfiguration() as {
    keys: unknown[];
    services: Array<{ connectionLimit: number; members: Array<{ member: string; state: string }> }>;
    rows: Array<{ service: string; area: string; serves: Record<string, unknown>; weights: Record<string, number> }>;
  };
  const markerKey = `mark-${storm.sends.length}-${'x'.repeat(8)}`;
  for (const service of draft.services) {
    service.connectionLimit = storm.limit;
    for (const member of service.members) if (storm.draining.has(member.member)) member.state = 'draining';
  }
  const areOwnReadsDrawn = !fleet.deployment.mix.some((one) => one.kind === 'own-read');
  for (const row of draft.rows) {
    for (const member of Object.keys(row.weights))
      row.weights[member] = storm.zeroWeights.has(`${member}|${row.area}`) ? 0 : Math.floor(between(fleet, 1, 6));
    if (areOwnReadsDrawn && !storm.ownReads.has(`${row.service}|${row.area}`)) delete row.serves['own-read'];
  }
  if (storm.isClientKeyRemoved) draft.keys.splice(0);
  if (storm.secondKeyGrant !== undefined) draft.keys.push({ key: secondKey, ...storm.secondKeyGrant });
  draft.keys.push({ key: markerKey, services: [fleet.deployment.services[0]], kinds: ['leader-read'] });
  const checked = placements.validate(draft);
  if (Either.isLeft(checked)) throw new Error(checked.left.message);
  return { configuration: checked.right, markerKey };
}

export async function send(fleet: Fleet, storm: Storm, coreIndex: number): Promise<boolean> {
  const { configuration, markerKey } = buildConfiguration(fleet, storm);
  const sent: SentConfiguration = {
    sentAt: fleet.world.now(),
    core: `core-${coreIndex + 1}`,
    configuration,
    markerKey,
    version: 0,
    acknowledgedAt: Number.POSITIVE_INFINITY,
    endedAt: Number.POSITIVE_INFINITY,
    replied: false,
  };
  storm.sends.push(sent);
  const reply = await fleet.sendConfiguration(configuration, coreIndex);
  sent.endedAt = fleet.world.now();
  sent.replied = reply.status !== 0;
  if (reply.status !== 200) return false;
  sent.version = (reply.body as { version: number }).version;
  sent.acknowledgedAt = fleet.world.now();
  return true;
}

/** Sends configurations through one core after another until one is accepted. */
export async function sendUntilAccepted(fleet: Fleet, storm: Storm): Promise<void> {
  for (let attempt = 0; !(await send(fleet, storm, attempt % 3)); attempt += 1)
    await new Promise<void>((resolve) => fleet.world.schedule(500, resolve));
}

/** Draws new values for the settings that probes and members observe: the second key's permissions, own reads by row, zero weights, the connection limit. */
export function redrawSettings(fleet: Fleet, storm: Storm): void {
  const { services } = fleet.deployment;
  const kinds = statementKinds.filter(() => fleet.world.fraction() < 0.5);
  storm.secondKeyGrant =
    kinds.length === 0 ? undefined : { services: services.filter((_, index) => index === 0 || fleet.world.fraction() < 0.5), kinds };
  storm.limit = fleet.world.fraction() < 0.3 ? Math.floor(fleet.deployment.connectionLimit * 0.75) : fleet.deployment.connectionLimit;
  storm.ownReads.clear();
  storm.zeroWeights.clear();
  for (const service of services)
    for (const area of ['north', 'middle', 'south']) if (fleet.world.fraction() < 0.5) storm.ownReads.add(`${service}|${area}`);
  for (const slot of fleet.members)
    for (const area of ['north', 'middle', 'south'])
      if (fleet.world.fraction() < 0.15) storm.zeroWeights.add(`${slot.place.member}|${area}`);
}

/** Sends an empty configuration and one with a row for an unknown service. Both must be refused and change nothing. */
export function sendInvalidConfigurations(fleet: Fleet): void {
  void fleet.sendOperatorCommand('PUT', '/v1/sheet', 0);
  void fleet.sendConfiguration({ ...fleet.defaultConfiguration(), rows: [{ service: 'nowhere', area: 'north', serves: {} }] }, 1);
}
