// One seeded run: the brief's loads, its failures mixed from the seed, and every checker at the end (design 10.4).
import type { HttpReply } from '@stallstall/kernel';
import { brightpath, redComun, type MemberKnobs } from '@stallstall/stand-in';
import { checks, type Acknowledged, type Violation } from './checks.js';
import { fleet as fleets, type EdgeSlot, type Fleet, type MemberSlot } from './fleet.js';

export type StormResult = Readonly<{
  seed: number;
  deployment: string;
  violations: readonly Violation[];
  faults: readonly string[];
  served: number;
  reasons: Readonly<Record<string, number>>;
  events: number;
  elections: number;
  longestDenial: number;
}>;

export type StormOptions = Readonly<{ milliseconds?: number; faults?: number; trace?: boolean }>;

type Fault = Readonly<{ name: string; run: (fleet: Fleet, storm: Storm) => void }>;
type Storm = { readonly acknowledged: Acknowledged[]; readonly told: string[]; blanking: boolean; readonly peaks: Map<string, number>; crossings: number; sends: number };

const settleMilliseconds = 16_000;

function pick<Item>(fleet: Fleet, items: readonly Item[]): Item {
  return items[Math.floor(fleet.world.fraction() * items.length)] as Item;
}

function between(fleet: Fleet, least: number, most: number): number {
  return least + fleet.world.fraction() * (most - least);
}

function everyMachine(fleet: Fleet): readonly string[] {
  return [...fleet.cores.map((slot) => slot.machine), ...fleet.edges.map((slot) => slot.machine), ...fleet.members.map((slot) => slot.machine), 'platform-machine'];
}

function notePeaks(fleet: Fleet, storm: Storm): void {
  for (const slot of fleet.members) {
    if (slot.running !== undefined) storm.peaks.set(slot.place.member, Math.max(slot.running.peakConnections(), storm.peaks.get(slot.place.member) ?? 0));
  }
}

function killMember(fleet: Fleet, storm: Storm, slot: MemberSlot, milliseconds: number): void {
  if (slot.process?.alive() !== true) return;
  notePeaks(fleet, storm);
  storm.crossings += slot.running?.crossings() ?? 0;
  fleet.stopSlot(slot);
  fleet.world.at(milliseconds, () => void fleet.startMember(slot));
}

function turnKnob(fleet: Fleet, slot: MemberSlot, knob: keyof MemberKnobs, milliseconds: number): void {
  const running = slot.running;
  if (running === undefined) return;
  running.knobs[knob] = true;
  fleet.world.at(milliseconds, () => {
    running.knobs[knob] = false;
  });
}

function cutMachine(fleet: Fleet, machine: string, ways: 'both' | 'in' | 'out', milliseconds: number): void {
  const others = everyMachine(fleet).filter((one) => one !== machine);
  for (const other of others) {
    if (ways !== 'in') fleet.world.cut(machine, other);
    if (ways !== 'out') fleet.world.cut(other, machine);
  }
  fleet.world.at(milliseconds, () => {
    for (const other of others) {
      fleet.world.heal(machine, other);
      fleet.world.heal(other, machine);
    }
  });
}

function killEdge(fleet: Fleet, slot: EdgeSlot, part: 'agent' | 'proxy', milliseconds: number): void {
  if (slot[part].process?.alive() !== true) return;
  fleet.stopSlot(slot[part]);
  fleet.world.at(milliseconds, () => void (part === 'agent' ? fleet.startAgent(slot) : fleet.startProxy(slot)));
}

function send(fleet: Fleet, storm: Storm, coreIndex: number): void {
  storm.sends += 1;
  const mark = `mark-${storm.sends}-${'x'.repeat(8)}`;
  const sheet = fleet.sheet() as { keys: unknown[] };
  sheet.keys.push({ key: mark, services: [fleet.deployment.services[0]], kinds: ['leader-read'] });
  void fleet.send(sheet, coreIndex).then((reply) => {
    if (reply.status === 200) storm.acknowledged.push({ version: (reply.body as { version: number }).version, at: fleet.world.now(), mark });
  });
}

const faults: readonly Fault[] = [
  { name: 'kill-primary', run: (fleet, storm) => {
    const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
    if (slot !== undefined) killMember(fleet, storm, slot, between(fleet, 3_000, 15_000));
  } },
  { name: 'kill-member', run: (fleet, storm) => killMember(fleet, storm, pick(fleet, fleet.members), between(fleet, 500, 8_000)) },
  { name: 'member-dark', run: (fleet) => turnKnob(fleet, pick(fleet, fleet.members), 'dark', between(fleet, 1_000, 9_000)) },
  { name: 'member-deaf', run: (fleet) => turnKnob(fleet, pick(fleet, fleet.members), 'deaf', between(fleet, 500, 6_000)) },
  { name: 'replies-lost', run: (fleet) => {
    const slot = fleet.primaryOf(pick(fleet, fleet.deployment.services));
    if (slot !== undefined) turnKnob(fleet, slot, 'loseReplies', between(fleet, 100, 1_500));
  } },
  { name: 'cut-member', run: (fleet) => cutMachine(fleet, pick(fleet, fleet.members).machine, pick(fleet, ['both', 'in', 'out'] as const), between(fleet, 500, 9_000)) },
  { name: 'freeze-member', run: (fleet) => {
    const slot = pick(fleet, fleet.members);
    if (slot.process !== undefined) fleet.world.freeze(slot.process, between(fleet, 500, 8_000));
  } },
  { name: 'kill-core', run: (fleet) => {
    const slot = pick(fleet, fleet.cores);
    if (slot.process?.alive() !== true) return;
    fleet.stopSlot(slot);
    fleet.world.at(between(fleet, 200, 6_000), () => void fleet.startCore(slot));
  } },
  { name: 'blank-core', run: (fleet, storm) => {
    // One disk at a time: the fleet survives the loss of one core machine, and of the next once the first has copied.
    if (storm.blanking || fleet.cores.some((one) => one.process?.alive() !== true)) return;
    const slot = pick(fleet, fleet.cores);
    storm.blanking = true;
    fleet.stopSlot(slot);
    slot.disk = fleet.world.disk();
    fleet.world.at(between(fleet, 200, 3_000), () => void fleet.startCore(slot));
  } },
  { name: 'slow-disk', run: (fleet) => {
    const slot = pick(fleet, fleet.cores);
    slot.disk.trouble.slowMilliseconds = between(fleet, 20, 700);
    fleet.world.at(between(fleet, 1_000, 5_000), () => {
      slot.disk.trouble.slowMilliseconds = 0;
    });
  } },
  { name: 'failing-disk', run: (fleet) => {
    const slot = pick(fleet, fleet.cores);
    slot.disk.trouble.failing = true;
    fleet.world.at(between(fleet, 1_000, 5_000), () => {
      slot.disk.trouble.failing = false;
    });
  } },
  { name: 'kill-agent', run: (fleet) => killEdge(fleet, pick(fleet, fleet.edges), 'agent', between(fleet, 100, 4_000)) },
  { name: 'kill-proxy', run: (fleet) => killEdge(fleet, pick(fleet, fleet.edges), 'proxy', between(fleet, 100, 4_000)) },
  { name: 'cut-edge', run: (fleet) => cutMachine(fleet, pick(fleet, fleet.edges).machine, pick(fleet, ['both', 'in', 'out'] as const), between(fleet, 500, 9_000)) },
  { name: 'cut-core', run: (fleet) => cutMachine(fleet, pick(fleet, fleet.cores).machine, pick(fleet, ['both', 'in', 'out'] as const), between(fleet, 500, 9_000)) },
  { name: 'freeze-node', run: (fleet) => {
    const process = pick(fleet, [...fleet.cores.map((slot) => slot.process), ...fleet.edges.flatMap((slot) => [slot.agent.process, slot.proxy.process])]);
    if (process?.alive() === true) fleet.world.freeze(process, between(fleet, 300, 6_000));
  } },
  { name: 'operators-race', run: (fleet, storm) => {
    send(fleet, storm, 0);
    send(fleet, storm, 1);
  } },
  { name: 'platform-slow', run: (fleet) => {
    fleet.platform().knobs.slowMilliseconds = between(fleet, 100, 2_000);
    fleet.world.at(between(fleet, 1_000, 5_000), () => {
      fleet.platform().knobs.slowMilliseconds = 0;
    });
  } },
  { name: 'platform-trouble', run: (fleet) => {
    const knob = pick(fleet, ['down', 'losesReplies', 'refuses'] as const);
    fleet.platform().knobs[knob] = true;
    fleet.world.at(between(fleet, 500, 4_000), () => {
      fleet.platform().knobs[knob] = false;
    });
  } },
  { name: 'zone-lost', run: (fleet, storm) => {
    const area = pick(fleet, ['north', 'middle', 'south']);
    const milliseconds = between(fleet, 2_000, 9_000);
    for (const slot of fleet.members) if (slot.place.area === area) killMember(fleet, storm, slot, milliseconds);
    for (const slot of fleet.edges) {
      if (slot.area !== area) continue;
      killEdge(fleet, slot, 'agent', milliseconds);
      killEdge(fleet, slot, 'proxy', milliseconds);
    }
  } },
];

function clearBlanking(fleet: Fleet, storm: Storm): void {
  if (storm.blanking && fleet.cores.every((slot) => slot.process?.alive() === true && slot.running !== undefined && slot.running.open())) storm.blanking = false;
}

function markOf(reply: HttpReply): string {
  const sheet = (reply.body as { sheet?: { keys?: ReadonlyArray<{ key: string }> } } | null)?.sheet;
  return sheet?.keys?.at(-1)?.key ?? '';
}

async function run(seed: number, options: StormOptions = {}): Promise<StormResult> {
  const fleet = fleets.create(seed, seed % 2 === 0 ? brightpath : redComun);
  const storm: Storm = { acknowledged: [], told: [], blanking: false, peaks: new Map(), crossings: 0, sends: 0 };
  const milliseconds = options.milliseconds ?? 40_000;
  await fleet.startAll();
  await fleet.until(() => fleet.cores.every((slot) => slot.running?.node.membership().value.seats.length === 9), 10_000);
  const first = await fleet.operate('PUT', '/v1/sheet', { sheet: fleet.sheet(), sentBy: 'storm' });
  storm.acknowledged.push({ version: (first.body as { version: number }).version, at: fleet.world.now(), mark: fleet.key });
  await fleet.until(() => fleet.deployment.services.every((service) => fleet.primaryOf(service) !== undefined), 20_000);
  await fleet.world.run(3_000);
  const senders = fleet.startSenders();
  const watch = checks.watch(fleet, () => storm.acknowledged);
  const count = options.faults ?? 8;
  for (let index = 0; index < count; index += 1) {
    const chosen = pick(fleet, faults);
    fleet.world.at(3_000 + fleet.world.fraction() * (milliseconds - 12_000), () => {
      storm.told.push(`${Math.round(fleet.world.now())} ${chosen.name}`);
      chosen.run(fleet, storm);
    });
  }
  let sampling = true;
  function sample(): void {
    if (!sampling) return;
    watch.sample();
    notePeaks(fleet, storm);
    clearBlanking(fleet, storm);
    fleet.world.at(25, sample);
  }
  sample();
  await fleet.world.run(milliseconds);

  // The closing: every machine is back, every cut healed.
  fleet.world.healAll();
  await fleet.world.run(6_000);
  const healedAt = fleet.world.now();
  await fleet.world.run(settleMilliseconds);
  const until = fleet.world.now();
  senders.stop();
  await fleet.world.run(5_000);
  sampling = false;
  const normal = fleet.deployment.requestsPerSecond;
  const quietFrom = Math.floor((1_800_000_000_000 + healedAt) / 5_000) + 1;
  const quietUntil = Math.floor((1_800_000_000_000 + until) / 5_000) - 1;
  const crossings = storm.crossings + fleet.members.reduce((sum, slot) => sum + (slot.running?.crossings() ?? 0), 0);
  const violations = [
    ...watch.violations,
    ...checks.writes(fleet.ledger, checks.logsOf(fleet)),
    ...checks.reads(fleet.ledger),
    ...checks.sessions(fleet.ledger, crossings),
    ...checks.promotions(fleet.platformStore),
    ...checks.usage(fleet.platformStore, fleet.ledger.usageByWindow, quietFrom, quietUntil),
    ...checks.limits(fleet, storm.peaks),
    ...checks.recovery(fleet.ledger, healedAt, until, normal),
    ...(await checks.readBack(fleet, storm.acknowledged, markOf, 16)),
  ];
  if (options.trace === true) {
    for (const line of fleet.world.logs) if (line.event !== 'node.join-waits') console.log(line.at.toFixed(1), line.process, line.event, JSON.stringify(line.fields));
  }
  return {
    seed, deployment: fleet.deployment.name, violations, faults: storm.told,
    served: fleet.ledger.reasons.get('served') ?? 0, reasons: Object.fromEntries(fleet.ledger.reasons),
    events: fleet.world.events(), elections: fleet.platformStore.promotions.filter((call) => call.accepted).length, longestDenial: Math.round(fleet.ledger.longestDenial),
  };
}

export const storm = { run, faults: faults.map((fault) => fault.name) } as const;
