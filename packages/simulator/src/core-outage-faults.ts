/** Faults of the seeded outages of cores: losses within the tolerance, and kills of all cores at once (design 10.4). */
import type { CoreFleet, CoreMachine } from './core-fleet.js';
import { between, pick } from './draws.js';
import type { Back, LossBudget } from './loss-budget.js';

export type OutageFleet = Readonly<{
  fleet: CoreFleet;
  operator: Readonly<{ stop: () => void }>;
  losses: LossBudget;
  /** Machines that are gone for good. */
  retired: Set<CoreMachine>;
  /** Faults beyond the tolerance, which lose no disk: how many are under way, and when the latest of them was over. */
  beyondTolerance: { underWay: number; until: number };
  /** Records that a fault has struck. */
  report: (name: string) => void;
}>;

/** Takes cores away; `back` is called once what it took is back. */
export type OutageFault = Readonly<{
  name: string;
  /** Whether it loses a disk or gives a seat away, so that it must wait until the tolerance allows it. */
  losesDisk?: boolean;
  strike: (outage: OutageFleet, back: Back) => void;
}>;

type End = (machine: CoreMachine) => void;

const minDownMilliseconds = 200;
const maxDownMilliseconds = 6_000;
const maxRestartMilliseconds = 1_500;
const drainDelayMilliseconds = 4_000;
const graceMilliseconds = 6_000;
const maxSuccessorMilliseconds = 4_000;
const slowWriteMilliseconds = 60;
const slowRoundMilliseconds = 100;
const frozenPerRoundMilliseconds = 80;

/** The machines that belong to the fleet; those that were replaced stay away. @internal */
export function coresInUse({ fleet, retired }: OutageFleet): readonly CoreMachine[] {
  return fleet.machines.filter((machine) => !retired.has(machine));
}

function anyCore(outage: OutageFleet): CoreMachine {
  return pick(outage.fleet, coresInUse(outage));
}

function othersThan(outage: OutageFleet, machine: CoreMachine): readonly CoreMachine[] {
  return coresInUse(outage).filter((other) => other !== machine);
}

function downMilliseconds({ fleet }: OutageFleet): number {
  return between(fleet, minDownMilliseconds, maxDownMilliseconds);
}

/** Starts a machine again unless something else has started it or it is gone for good. */
function startLater(
  { fleet, retired }: OutageFleet,
  machine: CoreMachine,
  milliseconds: number,
  started: () => void = () => undefined,
): void {
  fleet.world.schedule(milliseconds, function startAgain() {
    if (!retired.has(machine) && machine.process?.alive() !== true) void fleet.start(machine, false);
    started();
  });
}

function restarted(end: (outage: OutageFleet) => End): OutageFault['strike'] {
  return function strike(outage, back) {
    const machine = anyCore(outage);
    end(outage)(machine);
    startLater(outage, machine, downMilliseconds(outage), back);
  };
}

function endAndLoseDisk(end: (outage: OutageFleet) => End): (outage: OutageFleet) => End {
  return (outage) =>
    function lose(machine) {
      end(outage)(machine);
      machine.disk = outage.fleet.newDisk();
    };
}

function kill({ fleet }: OutageFleet): End {
  return fleet.kill;
}

function losePower({ fleet }: OutageFleet): End {
  return fleet.losePower;
}

/** Strikes the core that acknowledged an order last, at that moment. */
function afterAcknowledgement(end: (outage: OutageFleet) => End): OutageFault['strike'] {
  return function strike(outage, back) {
    const { fleet } = outage;
    const before = fleet.highestAcknowledgedVersion();
    const until = fleet.world.now() + maxDownMilliseconds;
    function look(): void {
      const machine = fleet.machine(fleet.lastAcknowledger());
      if (fleet.world.now() > until) return back();
      if (fleet.highestAcknowledgedVersion() === before || outage.retired.has(machine)) return fleet.world.schedule(1, look);
      end(outage)(machine);
      startLater(outage, machine, downMilliseconds(outage), back);
    }
    look();
  };
}

/** The addresses in the settings of a machine that starts; the list lags, so it may name a machine that has just gone. */
function seedAddresses(outage: OutageFleet, gone: CoreMachine): readonly string[] {
  const addresses = othersThan(outage, gone).map((machine) => machine.address);
  return outage.fleet.world.fraction() < 0.5 ? [gone.address, ...addresses] : addresses;
}

function retire(outage: OutageFleet, machine: CoreMachine, end: End): void {
  outage.retired.add(machine);
  end(machine);
}

function replaceLost(outage: OutageFleet, back: Back): void {
  const machine = anyCore(outage);
  const seeds = seedAddresses(outage, machine);
  retire(outage, machine, pick(outage.fleet, [kill, losePower])(outage));
  outage.fleet.world.schedule(between(outage.fleet, 0, maxSuccessorMilliseconds), function startSuccessor() {
    void outage.fleet.startBlankCore(seeds);
    back();
  });
}

/** The successor starts first; then the core is told to end, and is killed if it has not ended within its grace period. */
function replaceAsPlanned(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  void fleet.startBlankCore(seedAddresses(outage, machine));
  fleet.world.schedule(drainDelayMilliseconds, function drain() {
    const { process } = machine;
    function end(): void {
      if (machine.process === process) retire(outage, machine, fleet.kill);
    }
    outage.retired.add(machine);
    void machine.running?.drain().then(end);
    fleet.world.schedule(graceMilliseconds, function endAtLast() {
      end();
      back();
    });
  });
}

type Direction = 'both' | 'leaving' | 'coming';

function setCut({ fleet }: OutageFleet, from: CoreMachine, to: CoreMachine, isCut: boolean): void {
  if (isCut) fleet.world.cut(from.machine, to.machine);
  else fleet.world.heal(from.machine, to.machine);
}

function cutFromOthers(outage: OutageFleet, machine: CoreMachine, direction: Direction, isCut: boolean): void {
  for (const other of outage.fleet.machines) {
    if (other === machine) continue;
    if (!isCut || direction !== 'coming') setCut(outage, machine, other, isCut);
    if (!isCut || direction !== 'leaving') setCut(outage, other, machine, isCut);
  }
}

function cut(direction: Direction): OutageFault['strike'] {
  return function strike(outage, back) {
    const machine = anyCore(outage);
    cutFromOthers(outage, machine, direction, true);
    outage.fleet.world.schedule(downMilliseconds(outage), function heal() {
      cutFromOthers(outage, machine, direction, false);
      back();
    });
  };
}

/** The core that is cut off is restarted, and the others after it, before the cut heals. */
function cutAndRestarted(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  cutFromOthers(outage, machine, 'both', true);
  [machine, ...othersThan(outage, machine)].forEach((each, index) =>
    fleet.world.schedule((index + 1) * 1_000, function restart() {
      fleet.kill(each);
      startLater(outage, each, between(fleet, minDownMilliseconds, maxRestartMilliseconds));
    }),
  );
  fleet.world.schedule(between(fleet, 5_000, 8_000), function heal() {
    cutFromOthers(outage, machine, 'both', false);
    back();
  });
}

/** A core misses changes; then another one loses its disk and the third one its power, and the cut heals. */
function leftBehind(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  const [wiped, dark] = othersThan(outage, machine) as readonly [CoreMachine, CoreMachine];
  cutFromOthers(outage, machine, 'both', true);
  fleet.world.schedule(between(fleet, 1_000, 4_000), function strikeOthers() {
    endAndLoseDisk(losePower)(outage)(wiped);
    fleet.losePower(dark);
    cutFromOthers(outage, machine, 'both', false);
    startLater(outage, wiped, between(fleet, minDownMilliseconds, maxRestartMilliseconds));
    startLater(outage, dark, between(fleet, maxRestartMilliseconds, maxDownMilliseconds), back);
  });
}

/** The cut heals and, at that moment, all other cores are killed. */
function relieved(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  cutFromOthers(outage, machine, 'both', true);
  fleet.world.schedule(downMilliseconds(outage), function heal() {
    cutFromOthers(outage, machine, 'both', false);
    const others = othersThan(outage, machine);
    let down = others.length;
    for (const other of others) {
      fleet.kill(other);
      startLater(outage, other, between(fleet, minDownMilliseconds, maxRestartMilliseconds), function started() {
        down -= 1;
        if (down === 0) back();
      });
    }
  });
}

function freeze(outage: OutageFleet, back: Back): void {
  const { process } = anyCore(outage);
  const milliseconds = downMilliseconds(outage);
  if (process !== undefined) outage.fleet.world.freeze(process, milliseconds);
  outage.fleet.world.schedule(milliseconds, back);
}

function slowDown(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  const until = fleet.world.now() + downMilliseconds(outage);
  function round(): void {
    if (fleet.world.now() >= until) return back();
    if (machine.process?.alive() === true) fleet.world.freeze(machine.process, frozenPerRoundMilliseconds);
    fleet.world.schedule(slowRoundMilliseconds, round);
  }
  round();
}

function diskTrouble(begin: (machine: CoreMachine) => void, end: (machine: CoreMachine) => void): OutageFault['strike'] {
  return function strike(outage, back) {
    const machine = anyCore(outage);
    begin(machine);
    outage.fleet.world.schedule(downMilliseconds(outage), function mend() {
      end(machine);
      back();
    });
  };
}

/** Ends as planned and starts again; killed if it has not ended within its grace period. */
function restartAsPlanned(outage: OutageFleet, back: Back): void {
  const { fleet } = outage;
  const machine = anyCore(outage);
  const { process } = machine;
  let hasEnded = false;
  function endAndStart(): void {
    if (hasEnded) return;
    hasEnded = true;
    if (machine.process === process) fleet.kill(machine);
    startLater(outage, machine, between(fleet, minDownMilliseconds, maxRestartMilliseconds), back);
  }
  void machine.running?.drain().then(endAndStart);
  fleet.world.schedule(graceMilliseconds, endAndStart);
}

const withinTolerance: readonly OutageFault[] = [
  { name: 'killed', strike: restarted(kill) },
  { name: 'power-lost', strike: restarted(losePower) },
  { name: 'disk-lost', losesDisk: true, strike: restarted(endAndLoseDisk(losePower)) },
  { name: 'disk-lost-after-acknowledgement', losesDisk: true, strike: afterAcknowledgement(endAndLoseDisk(losePower)) },
  { name: 'power-lost-after-acknowledgement', strike: afterAcknowledgement(losePower) },
  { name: 'replaced', losesDisk: true, strike: replaceLost },
  { name: 'replaced-as-planned', losesDisk: true, strike: replaceAsPlanned },
  { name: 'restarted-as-planned', losesDisk: true, strike: restartAsPlanned },
  { name: 'cut', strike: cut('both') },
  { name: 'unheard', strike: cut('leaving') },
  { name: 'deaf', strike: cut('coming') },
  { name: 'cut-and-restarted', strike: cutAndRestarted },
  { name: 'left-behind', losesDisk: true, strike: leftBehind },
  { name: 'relieved', strike: relieved },
  { name: 'frozen', strike: freeze },
  { name: 'slow', strike: slowDown },
  {
    name: 'disk-full',
    strike: diskTrouble(
      (machine) => void (machine.disk.faults.full = true),
      (machine) => void (machine.disk.faults.full = false),
    ),
  },
  {
    name: 'disk-hangs',
    strike: diskTrouble(
      (machine) => void (machine.disk.faults.hanging = true),
      (machine) => void (machine.disk.faults.hanging = false),
    ),
  },
  {
    name: 'disk-slow',
    strike: diskTrouble(
      (machine) => void (machine.disk.faults.slowMilliseconds = slowWriteMilliseconds),
      (machine) => void (machine.disk.faults.slowMilliseconds = 0),
    ),
  },
];

/** Ends all cores at once, whatever the tolerance says. */
function endAll(end: (outage: OutageFleet) => End): OutageFault['strike'] {
  return function strike(outage, back) {
    const machines = coresInUse(outage);
    let down = machines.length;
    for (const machine of machines) {
      if (machine.process?.alive() === true) end(outage)(machine);
      startLater(outage, machine, between(outage.fleet, minDownMilliseconds, maxRestartMilliseconds), function started() {
        down -= 1;
        if (down === 0) back();
      });
    }
  };
}

const ofAllCores: readonly OutageFault[] = [
  { name: 'all-killed', strike: endAll(kill) },
  { name: 'power-lost-by-all', strike: endAll(losePower) },
];

export const coreOutageFaults = { withinTolerance, ofAllCores } as const;
