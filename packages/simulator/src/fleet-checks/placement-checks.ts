/** Checks of the placement configuration: applied in time, never an older one again, grants and read weights respected. */
import { type PlacementConfiguration, placements } from '@stallstall/placement';
import type { SentConfiguration, Violation, Probe } from './check-records.js';
import type { Fleet } from '../fleet.js';
import { initialWallTime } from '../world.js';

const obeyMilliseconds = 3_000;

/** What the proxies hold at this moment: configuration obeyed in time, never back, and no two epochs open at once. */
export function watch(fleet: Fleet, sends: readonly SentConfiguration[]): Readonly<{ sample: () => void; violations: Violation[] }> {
  const violations: Violation[] = [];
  const last = new Map<object, number>();
  const opened = new Map<string, number>();
  const seen = new Set<string>();

  function add(check: string, detail: string): void {
    if (seen.has(`${check}|${detail}`)) return;
    seen.add(`${check}|${detail}`);
    violations.push({ check, detail });
  }

  function sample(): void {
    const now = fleet.world.now();
    const due = Math.max(0, ...sends.filter((one) => one.acknowledgedAt + obeyMilliseconds <= now).map((one) => one.version));
    const open = new Map<string, Map<number, string>>();
    for (const edge of fleet.edges) {
      const { running, process } = edge.proxy;
      if (running === undefined || process?.alive() !== true || fleet.world.isFrozen(process)) continue;
      const moment = process.runtime.clock.now();
      const placement = running.placement();
      const before = last.get(running) ?? 0;
      if (placement.version < before) add('configuration-back', `${edge.name} went from ${before} to ${placement.version}`);
      last.set(running, placement.version);
      if (placement.version < due && placement.controlTermEnd > moment)
        add('configuration-unobeyed', `${edge.name} lets in under ${placement.version} when ${due} was acknowledged`);
      for (const [service, fence] of placement.fences) {
        if (fence.until <= moment || placement.controlTermEnd <= moment) continue;
        const epochs = open.get(service) ?? new Map<number, string>();
        epochs.set(fence.epoch, edge.name);
        open.set(service, epochs);
      }
    }
    for (const [service, epochs] of open) {
      // What the platform has promoted may lead: nobody may still act under an epoch before it.
      const highest = Math.max(...epochs.keys(), opened.get(service) ?? 0, fleet.platformStore.leaders.get(service)?.epoch ?? 0);
      opened.set(service, highest);
      for (const [epoch, edge] of epochs)
        if (epoch < highest) add('two-epochs-open', `${service}: ${edge} is open at ${epoch} when ${highest} is open`);
    }
    const limit = largestLimit(sends, now);
    for (const slot of fleet.members) {
      const held = slot.running?.connections() ?? 0;
      if (held > (limit.get(slot.place.service) ?? 0))
        add('connection-limit', `${slot.place.member} held ${held} of ${limit.get(slot.place.service)}`);
    }
  }

  return { sample, violations };
}

type Span = Readonly<{ sheet: PlacementConfiguration; from: number; until: number }>;

/** When each sheet that was sent may have been obeyed somewhere: from its sending until three seconds after a later one was acknowledged. */
function spans(sends: readonly SentConfiguration[]): readonly Span[] {
  return sends.map((sent) => ({
    sheet: sent.sheet,
    from: sent.sentAt,
    // A send that was never acknowledged may have been taken at any number.
    until:
      sent.version === 0
        ? Number.POSITIVE_INFINITY
        : obeyMilliseconds +
          Math.min(...sends.filter((other) => other.version > sent.version).map((other) => other.acknowledgedAt), Number.POSITIVE_INFINITY),
  }));
}

function obeyable(known: readonly Span[], from: number, until: number): readonly PlacementConfiguration[] {
  return known.filter((span) => span.from <= until && span.until >= from).map((span) => span.sheet);
}

function largestLimit(sends: readonly SentConfiguration[], now: number): ReadonlyMap<string, number> {
  const largest = new Map<string, number>();
  for (const sheet of obeyable(spans(sends), now, now))
    for (const service of sheet.services)
      largest.set(service.service, Math.max(service.connectionLimit, largest.get(service.service) ?? 0));
  return largest;
}

/** Reckoned here and not by the product's own function, which is what is judged. */
function letsIn(sheet: PlacementConfiguration, probe: Probe): boolean {
  const given = sheet.keys.some((one) => one.key === probe.key && one.services.includes(probe.service) && one.kinds.includes(probe.kind));
  return (
    given && sheet.rows.some((row) => row.service === probe.service && row.area === probe.area && row.serves[probe.kind] !== undefined)
  );
}

/** Nothing served that no sheet of the moment lets in; nothing called forbidden that every sheet of the moment lets in. */
export function obeying(probes: readonly Probe[], sends: readonly SentConfiguration[]): readonly Violation[] {
  const known = spans(sends);
  return probes.flatMap((probe): readonly Violation[] => {
    const sheetsThen = obeyable(known, probe.startedAt, probe.endedAt);
    const reported = `${probe.kind} on ${probe.service} under ${probe.key} at ${probe.edge}, ${Math.round(probe.startedAt)}-${Math.round(probe.endedAt)} ms: ${probe.reason}`;
    if (probe.reason === 'served' && !sheetsThen.some((sheet) => letsIn(sheet, probe)))
      return [{ check: 'never-allowed', detail: reported }];
    const forbidden = probe.reason === 'key-denied' || probe.reason === 'statement-denied' || probe.reason === 'not-found';
    if (forbidden && sheetsThen.length > 0 && sheetsThen.every((sheet) => letsIn(sheet, probe)))
      return [{ check: 'configuration-unobeyed', detail: reported }];
    return [];
  });
}

/** How long a statement may have been held back by a cut or a freeze before it arrived at a member that led when it was sent. */
const heldMilliseconds = 10_000;

/** A weight of nought keeps a member out of an area: no read but the leader's reaches it from there. */
export function weights(fleet: Fleet, sends: readonly SentConfiguration[]): readonly Violation[] {
  const known = spans(sends);
  const accepted = fleet.platformStore.promotions.filter((call) => call.accepted);
  function ledOf(member: string, service: string, from: number, until: number): boolean {
    const calls = accepted.filter((call) => call.service === service);
    return calls.some(
      (call, index) => call.member === member && call.at <= until && (calls[index + 1]?.at ?? Number.POSITIVE_INFINITY) >= from,
    );
  }
  const areaOf = new Map(fleet.edges.map((edge) => [edge.machine, edge.area]));
  return fleet.members.flatMap((slot) =>
    slot.store.ran.flatMap((ran): readonly Violation[] => {
      const area = areaOf.get(fleet.world.machineOf(ran.connection));
      if (
        area === undefined ||
        !ran.readOnly ||
        ledOf(slot.place.member, slot.place.service, initialWallTime + ran.at - heldMilliseconds, initialWallTime + ran.at)
      )
        return [];
      const then = obeyable(known, ran.at, ran.at);
      const kept =
        then.length > 0 &&
        then.every((sheet) => (placements.findRow(sheet, slot.place.service, area)?.weights[slot.place.member] ?? 1) === 0);
      return kept
        ? [{ check: 'weight-unobeyed', detail: `${slot.place.member} was read from ${area} at ${Math.round(ran.at)} ms with weight 0` }]
        : [];
    }),
  );
}
