/** Checks of the placement configuration: applied in time, never replaced by an older one, permissions and read weights respected. */
import { type PlacementConfiguration, placements } from '@stallstall/placement';
import type { SentConfiguration, Violation, Probe } from './check-records.js';
import type { Fleet } from '../fleet.js';
import { initialWallTime } from '../world.js';

/** How long an edge that accepts requests may take to apply an acknowledged configuration. */
const applyMilliseconds = 3_000;

/**
 * Samples the state of the proxies and members: configurations are applied in time and versions never go back, no two epochs of a
 * service accept requests at once, and members stay within their connection limits.
 */
export function watch(fleet: Fleet, sends: readonly SentConfiguration[]): Readonly<{ sample: () => void; violations: Violation[] }> {
  const violations: Violation[] = [];
  const lastVersions = new Map<object, number>();
  const highestEpochs = new Map<string, number>();
  const reported = new Set<string>();

  function add(check: string, detail: string): void {
    if (reported.has(`${check}|${detail}`)) return;
    reported.add(`${check}|${detail}`);
    violations.push({ check, detail });
  }

  function sample(): void {
    const now = fleet.world.now();
    const requiredVersion = Math.max(
      0,
      ...sends.filter((sent) => sent.acknowledgedAt + applyMilliseconds <= now).map((sent) => sent.version),
    );
    const openEpochs = new Map<string, Map<number, string>>();
    for (const edge of fleet.edges) {
      const { running, process } = edge.proxy;
      if (running === undefined || process?.alive() !== true || fleet.world.isFrozen(process)) continue;
      const processNow = process.runtime.clock.now();
      const placement = running.placement();
      const previous = lastVersions.get(running) ?? 0;
      if (placement.version < previous) add('configuration-back', `${edge.name} went from ${previous} to ${placement.version}`);
      lastVersions.set(running, placement.version);
      if (placement.version < requiredVersion && placement.controlTermEnd > processNow)
        add(
          'configuration-unobeyed',
          `${edge.name} accepts requests under version ${placement.version} although ${requiredVersion} was acknowledged`,
        );
      for (const [service, fence] of placement.fences) {
        if (fence.until <= processNow || placement.controlTermEnd <= processNow) continue;
        const epochs = openEpochs.get(service) ?? new Map<number, string>();
        epochs.set(fence.epoch, edge.name);
        openEpochs.set(service, epochs);
      }
    }
    for (const [service, epochs] of openEpochs) {
      // Once the platform has accepted a promotion, the new epoch may lead: no edge may still act under an earlier one.
      const highest = Math.max(...epochs.keys(), highestEpochs.get(service) ?? 0, fleet.platformStore.leaders.get(service)?.epoch ?? 0);
      highestEpochs.set(service, highest);
      for (const [epoch, edge] of epochs)
        if (epoch < highest)
          add('two-epochs-open', `${service}: ${edge} accepts requests at epoch ${epoch} although epoch ${highest} is open`);
    }
    const limits = largestLimits(sends, now);
    for (const slot of fleet.members) {
      const connections = slot.running?.connections() ?? 0;
      if (connections > (limits.get(slot.place.service) ?? 0))
        add('connection-limit', `${slot.place.member} held ${connections} of ${limits.get(slot.place.service)}`);
    }
  }

  return { sample, violations };
}

type Span = Readonly<{ configuration: PlacementConfiguration; from: number; until: number }>;

/** When each configuration may have been applied on some edge: from when it was sent until three seconds after a later one was acknowledged. */
function applicableSpans(sends: readonly SentConfiguration[]): readonly Span[] {
  return sends.map((sent) => ({
    configuration: sent.configuration,
    from: sent.sentAt,
    // A configuration that was never acknowledged may have been accepted as any version.
    until:
      sent.version === 0
        ? Number.POSITIVE_INFINITY
        : applyMilliseconds +
          Math.min(...sends.filter((other) => other.version > sent.version).map((other) => other.acknowledgedAt), Number.POSITIVE_INFINITY),
  }));
}

function applicableConfigurations(spans: readonly Span[], from: number, until: number): readonly PlacementConfiguration[] {
  return spans.filter((span) => span.from <= until && span.until >= from).map((span) => span.configuration);
}

function largestLimits(sends: readonly SentConfiguration[], now: number): ReadonlyMap<string, number> {
  const largest = new Map<string, number>();
  for (const configuration of applicableConfigurations(applicableSpans(sends), now, now))
    for (const service of configuration.services)
      largest.set(service.service, Math.max(service.connectionLimit, largest.get(service.service) ?? 0));
  return largest;
}

/** Computed independently of the product's own function, because that function is under test. */
function allows(configuration: PlacementConfiguration, probe: Probe): boolean {
  const hasPermission = configuration.keys.some(
    (granted) => granted.key === probe.key && granted.services.includes(probe.service) && granted.kinds.includes(probe.kind),
  );
  return (
    hasPermission &&
    configuration.rows.some((row) => row.service === probe.service && row.area === probe.area && row.serves[probe.kind] !== undefined)
  );
}

/** No statement is served that no applicable configuration allows, and none is denied that every applicable configuration allows. */
export function obeying(probes: readonly Probe[], sends: readonly SentConfiguration[]): readonly Violation[] {
  const spans = applicableSpans(sends);
  return probes.flatMap((probe): readonly Violation[] => {
    const configurations = applicableConfigurations(spans, probe.startedAt, probe.endedAt);
    const reported = `${probe.kind} on ${probe.service} under ${probe.key} at ${probe.edge}, ${Math.round(probe.startedAt)}-${Math.round(probe.endedAt)} ms: ${probe.reason}`;
    if (probe.reason === 'served' && !configurations.some((configuration) => allows(configuration, probe)))
      return [{ check: 'never-allowed', detail: reported }];
    const isDenied = probe.reason === 'key-denied' || probe.reason === 'statement-denied' || probe.reason === 'not-found';
    if (isDenied && configurations.length > 0 && configurations.every((configuration) => allows(configuration, probe)))
      return [{ check: 'configuration-unobeyed', detail: reported }];
    return [];
  });
}

/** How long a partition or a frozen process may delay a statement on its way to a member that was the primary when it was sent. */
const longestDelayMilliseconds = 10_000;

/** A member whose weight for an area is 0 gets no reads from there, except leader reads while it is the primary. */
export function weights(fleet: Fleet, sends: readonly SentConfiguration[]): readonly Violation[] {
  const spans = applicableSpans(sends);
  const accepted = fleet.platformStore.promotions.filter((call) => call.accepted);
  function wasPrimary(member: string, service: string, from: number, until: number): boolean {
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
        wasPrimary(slot.place.member, slot.place.service, initialWallTime + ran.at - longestDelayMilliseconds, initialWallTime + ran.at)
      )
        return [];
      const configurations = applicableConfigurations(spans, ran.at, ran.at);
      const isExcluded =
        configurations.length > 0 &&
        configurations.every(
          (configuration) => (placements.findRow(configuration, slot.place.service, area)?.weights[slot.place.member] ?? 1) === 0,
        );
      return isExcluded
        ? [{ check: 'weight-unobeyed', detail: `${slot.place.member} was read from ${area} at ${Math.round(ran.at)} ms with weight 0` }]
        : [];
    }),
  );
}
