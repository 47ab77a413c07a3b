/**
 * One loss at each moment in turn, while three cores repair or replace one: the course of each exploration is the same up to the
 * loss, and messages are lost and reordered by its seed (design 4.8, 10.4).
 */
import { explore, type ExploredTable } from './explore.js';
import type { Machine } from './explored-machines.js';

/** What happens later in an exploration, by the happening at which it does. */
type Plan = Array<Readonly<{ at: number; act: () => void }>>;

type Scenario = Readonly<{
  name: string;
  /** The repair or replacement that is under way. */
  begin: (table: ExploredTable, plan: Plan) => void;
  /** Whether the loss comes only once all seats are level again, and within so many happenings after that. */
  afterwards: boolean;
  /** The loss, struck at each moment in turn. */
  strike: (table: ExploredTable, plan: Plan) => void;
}>;

export type Moments = Readonly<{ violation: string | undefined; moments: number; happenings: number; results: number }>;

const seats = 3;
const beginAt = 40;
const spanAfterwards = 40;
/** No repair lasts longer, undisturbed. */
const mostHappenings = 2_500;
const settleHappenings = 150;
const backAfter = 60;
const leaveAt = 60;

function machine(table: ExploredTable, name: string): Machine {
  return table.machines.all().find((one) => one.name === name) as Machine;
}

function loseForGood(table: ExploredTable, name: string): void {
  const lost = machine(table, name);
  if (lost.isUp()) lost.crash(true);
  explore.gone.add(lost);
}

function startAgain(table: ExploredTable, plan: Plan, name: string): void {
  plan.push({ at: table.now() + backAfter, act: () => machine(table, name).start() });
}

function losePower(table: ExploredTable, plan: Plan, name: string): void {
  machine(table, name).crash(false);
  startAgain(table, plan, name);
}

function loseDisk(table: ExploredTable, plan: Plan, name: string): void {
  machine(table, name).crash(true);
  startAgain(table, plan, name);
}

/** The successor comes first, then the old machine is told to end; it ends by itself some time later. */
function replaceAsPlanned(table: ExploredTable, plan: Plan): void {
  table.machines.add([]);
  plan.push({ at: table.now() + leaveAt, act: () => machine(table, 'm1').leave() });
  plan.push({ at: table.now() + leaveAt + 2 * settleHappenings, act: () => loseForGood(table, 'm1') });
}

function replaceUnplanned(table: ExploredTable): void {
  loseForGood(table, 'm1');
  table.machines.add([]);
}

function newcomerLostForGood(table: ExploredTable): void {
  loseForGood(table, 'm4');
  table.machines.add([]);
}

const scenarios: readonly Scenario[] = [
  {
    name: 'planned replacement, the leaver ends at once',
    begin: replaceAsPlanned,
    afterwards: false,
    strike: (table) => loseForGood(table, 'm1'),
  },
  { name: 'planned replacement, the newcomer is lost', begin: replaceAsPlanned, afterwards: false, strike: newcomerLostForGood },
  {
    name: 'planned replacement, the newcomer loses power',
    begin: replaceAsPlanned,
    afterwards: false,
    strike: (table, plan) => losePower(table, plan, 'm4'),
  },
  { name: 'replacement, the newcomer is lost', begin: replaceUnplanned, afterwards: false, strike: newcomerLostForGood },
  {
    name: 'replacement, whoever may propose it loses power',
    begin: replaceUnplanned,
    afterwards: false,
    strike: (table, plan) => losePower(table, plan, 'm2'),
  },
  {
    name: 'replacement with two newcomers, one is lost',
    begin: function begin(table) {
      replaceUnplanned(table);
      table.machines.add([]);
    },
    afterwards: false,
    strike: (table) => loseForGood(table, 'm4'),
  },
  {
    // It stays until its seat is taken, which must not be before the first newcomer is level.
    name: 'replacement with two newcomers, another core leaves meanwhile',
    begin: function begin(table) {
      replaceUnplanned(table);
      table.machines.add([]);
    },
    afterwards: false,
    strike: (table) => machine(table, 'm2').leave(),
  },
  {
    name: 'lost disk, the same core loses power',
    begin: (table, plan) => loseDisk(table, plan, 'm1'),
    afterwards: false,
    strike: function strike(table, plan) {
      if (machine(table, 'm1').isUp()) losePower(table, plan, 'm1');
    },
  },
  {
    name: 'lost disk, it is lost again',
    begin: (table, plan) => loseDisk(table, plan, 'm1'),
    afterwards: false,
    strike: function strike(table, plan) {
      if (machine(table, 'm1').isUp()) loseDisk(table, plan, 'm1');
    },
  },
  {
    name: 'after a planned replacement, another disk is lost',
    begin: replaceAsPlanned,
    afterwards: true,
    strike: (table, plan) => loseDisk(table, plan, 'm2'),
  },
  {
    name: 'after a replacement, another core is lost and replaced',
    begin: replaceUnplanned,
    afterwards: true,
    strike: function strike(table) {
      loseForGood(table, 'm2');
      table.machines.add([]);
    },
  },
  {
    name: 'after a lost disk, another core loses power',
    begin: (table, plan) => loseDisk(table, plan, 'm1'),
    afterwards: true,
    strike: (table, plan) => losePower(table, plan, 'm3'),
  },
];

async function advance(table: ExploredTable, plan: Plan): Promise<void> {
  for (const due of plan.filter((one) => one.at <= table.now())) {
    plan.splice(plan.indexOf(due), 1);
    due.act();
  }
  await table.tick();
}

function isSettled(table: ExploredTable, plan: Plan): boolean {
  return plan.length === 0 && table.machines.short() === 0 && !table.machines.isStepping();
}

type Struck = Readonly<{ violation: string | undefined; happenings: number; results: number; moments: number }>;

/** Plays a scenario with its loss at one moment; without a loss, until the repair is done, where none is given. */
async function play(scenario: Scenario, seed: number, moment: number | undefined): Promise<Struck> {
  const table = explore.tableOf(seed, seats, 1, { late: 0.1, lateSync: 0.2, lost: 0.03, lostSteps: 0.03 });
  const plan: Plan = [];
  for (const name of ['x0', 'x1']) void explore.writer(table, name, false);
  while (table.now() < beginAt) await advance(table, plan);
  const begun = table.moments();
  scenario.begin(table, plan);
  while ((moment === undefined || scenario.afterwards) && !isSettled(table, plan) && table.now() < mostHappenings)
    await advance(table, plan);
  const repaired = table.moments();
  if (moment !== undefined) {
    const strikeAt = (scenario.afterwards ? repaired : begun) + moment;
    // Once all is calm nothing may happen any more; then the loss comes all the same.
    for (const latest = table.now() + mostHappenings; table.moments() < strikeAt && table.now() < latest;) await advance(table, plan);
    scenario.strike(table, plan);
    for (const until = table.now() + settleHappenings; table.now() < until || plan.length > 0;) await advance(table, plan);
  }
  const unserved = await table.serves();
  const violation = explore.judge(table.results)[0] ?? unserved;
  return { violation, happenings: table.now(), results: table.results.length, moments: repaired - begun };
}

/** Tries a scenario's loss at every moment of its repair, or of the time right after it; with a stride, at one of so many. */
async function everyMoment(scenario: Scenario, seed: number, stride = 1): Promise<Moments> {
  const undisturbed = await play(scenario, seed, undefined);
  const last = scenario.afterwards ? spanAfterwards : undisturbed.moments;
  let happenings = undisturbed.happenings;
  let results = undisturbed.results;
  let tried = 0;
  if (undisturbed.violation !== undefined) return { violation: `undisturbed: ${undisturbed.violation}`, moments: 0, happenings, results };
  for (let moment = 0; moment <= last; moment += stride) {
    const struck = await play(scenario, seed, moment);
    tried += 1;
    happenings += struck.happenings;
    results += struck.results;
    if (struck.violation !== undefined) return { violation: `moment ${moment}: ${struck.violation}`, moments: tried, happenings, results };
  }
  return { violation: undefined, moments: tried, happenings, results };
}

export const exploreLosses = { scenarios, everyMoment } as const;
