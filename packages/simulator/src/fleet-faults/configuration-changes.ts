/** Placement configurations that an operator sends during a run, valid and invalid. */
import { type PlacementConfiguration, placements, statementKinds } from '@stallstall/placement';
import * as Either from 'fp-ts/lib/Either.js';
import type { SentConfiguration } from '../fleet-checks/check-records.js';
import { type Storm, secondKey } from './fault-state.js';
import type { Fleet } from '../fleet.js';
import { between } from '../draws.js';

/** The sheet as the storm now wants it: the second key in or out, members that go, weights, limits and rows drawn anew. */
function wanted(fleet: Fleet, storm: Storm): Readonly<{ sheet: PlacementConfiguration; mark: string }> {
  const sheet = fleet.defaultConfiguration() as {
    keys: unknown[];
    services: Array<{ connectionLimit: number; members: Array<{ member: string; state: string }> }>;
    rows: Array<{ service: string; area: string; serves: Record<string, unknown>; weights: Record<string, number> }>;
  };
  const mark = `mark-${storm.sends.length}-${'x'.repeat(8)}`;
  for (const service of sheet.services) {
    service.connectionLimit = storm.limit;
    for (const member of service.members) if (storm.draining.has(member.member)) member.state = 'draining';
  }
  const ownReadsVary = !fleet.deployment.mix.some((one) => one.kind === 'own-read');
  for (const row of sheet.rows) {
    for (const member of Object.keys(row.weights))
      row.weights[member] = storm.weightless.has(`${member}|${row.area}`) ? 0 : Math.floor(between(fleet, 1, 6));
    if (ownReadsVary && !storm.ownReads.has(`${row.service}|${row.area}`)) delete row.serves['own-read'];
  }
  if (storm.keyless) sheet.keys.splice(0);
  if (storm.second !== undefined) sheet.keys.push({ key: secondKey, ...storm.second });
  sheet.keys.push({ key: mark, services: [fleet.deployment.services[0]], kinds: ['leader-read'] });
  const checked = placements.validate(sheet);
  if (Either.isLeft(checked)) throw new Error(checked.left.message);
  return { sheet: checked.right, mark };
}

export async function send(fleet: Fleet, storm: Storm, coreIndex: number): Promise<boolean> {
  const { sheet, mark } = wanted(fleet, storm);
  const sent: SentConfiguration = {
    sentAt: fleet.world.now(),
    core: `core-${coreIndex + 1}`,
    sheet,
    mark,
    version: 0,
    acknowledgedAt: Number.POSITIVE_INFINITY,
    endedAt: Number.POSITIVE_INFINITY,
    replied: false,
  };
  storm.sends.push(sent);
  const reply = await fleet.sendConfiguration(sheet, coreIndex);
  sent.endedAt = fleet.world.now();
  sent.replied = reply.status !== 0;
  if (reply.status !== 200) return false;
  sent.version = (reply.body as { version: number }).version;
  sent.acknowledgedAt = fleet.world.now();
  return true;
}

/** An operator who goes on, through one core after another, until the sheet is taken. */
export async function sendUntilTaken(fleet: Fleet, storm: Storm): Promise<void> {
  for (let attempt = 0; !(await send(fleet, storm, attempt % 3)); attempt += 1)
    await new Promise<void>((resolve) => fleet.world.schedule(500, resolve));
}

/** Draws anew what probes and members can see: who the second key may reach, own reads by row, weights of nought, the limit. */
export function redraw(fleet: Fleet, storm: Storm): void {
  const { services } = fleet.deployment;
  const kinds = statementKinds.filter(() => fleet.world.fraction() < 0.5);
  storm.second =
    kinds.length === 0 ? undefined : { services: services.filter((_, index) => index === 0 || fleet.world.fraction() < 0.5), kinds };
  storm.limit = fleet.world.fraction() < 0.3 ? Math.floor(fleet.deployment.connectionLimit * 0.75) : fleet.deployment.connectionLimit;
  storm.ownReads.clear();
  storm.weightless.clear();
  for (const service of services)
    for (const area of ['north', 'middle', 'south']) if (fleet.world.fraction() < 0.5) storm.ownReads.add(`${service}|${area}`);
  for (const slot of fleet.members)
    for (const area of ['north', 'middle', 'south'])
      if (fleet.world.fraction() < 0.15) storm.weightless.add(`${slot.place.member}|${area}`);
}

/** A junk sheet, and one against a version that never was: both are to change nothing. */
export function spoiltSends(fleet: Fleet): void {
  void fleet.sendOperatorCommand('PUT', '/v1/sheet', 0);
  void fleet.sendConfiguration({ ...fleet.defaultConfiguration(), rows: [{ service: 'nowhere', area: 'north', serves: {} }] }, 1);
}
