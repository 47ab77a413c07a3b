/**
 * Injects one more loss at each moment in turn while three cores repair or replace one of them. All runs of a seed are identical up to
 * the injected loss; the seed also determines which messages are lost and reordered (design 4.8, 10.4).
 */
import { explore, type Exploration } from './explore.js';
import type { Machine } from './explored-machines.js';

/** Actions planned for later in an exploration, with the event number at which each is due. */
type PlannedActions = Array<Readonly<{ atEvent: number; action: () => void }>>;

type Scenario = Readonly<{
  name: string;
  /** Starts the repair or replacement. */
  begin: (exploration: Exploration, plan: PlannedActions) => void;
  /** Whether the loss is injected only after all seats are up to date again, within `momentsAfterRecovery` moments. */
  isLossAfterRecovery: boolean;
  /** The loss that is injected at each moment in turn. */
  loseMachine: (exploration: Exploration, plan: PlannedActions) => void;
}>;

export type ScenarioResult = Readonly<{ violation: string | undefined; moments: number; events: number; results: number }>;

const coreCount = 3;
const scenarioStartEvent = 40;
const momentsAfterRecovery = 40;
/** No repair takes longer without a further loss. */
const maxRepairEvents = 2_500;
const eventsAfterLoss = 150;
const eventsUntilRestart = 60;
const eventsUntilLeave = 60;

function machineNamed(exploration: Exploration, name: string): Machine {
  return exploration.machines.all().find((candidate) => candidate.name === name) as Machine;
}

function loseForGood(exploration: Exploration, name: string): void {
  const lost = machineNamed(exploration, name);
  if (lost.isUp()) lost.crash(true);
  explore.lostForGood.add(lost);
}

function planRestart(exploration: Exploration, plan: PlannedActions, name: string): void {
  plan.push({ atEvent: exploration.now() + eventsUntilRestart, action: () => machineNamed(exploration, name).start() });
}

function losePower(exploration: Exploration, plan: PlannedActions, name: string): void {
  machineNamed(exploration, name).crash(false);
  planRestart(exploration, plan, name);
}

function loseDisk(exploration: Exploration, plan: PlannedActions, name: string): void {
  machineNamed(exploration, name).crash(true);
  planRestart(exploration, plan, name);
}

/** The successor starts first, then the old machine is told to leave; it ends some time later. */
function replaceAsPlanned(exploration: Exploration, plan: PlannedActions): void {
  exploration.machines.add([]);
  plan.push({ atEvent: exploration.now() + eventsUntilLeave, action: () => machineNamed(exploration, 'm1').leave() });
  plan.push({ atEvent: exploration.now() + eventsUntilLeave + 2 * eventsAfterLoss, action: () => loseForGood(exploration, 'm1') });
}

function replaceUnplanned(exploration: Exploration): void {
  loseForGood(exploration, 'm1');
  exploration.machines.add([]);
}

function replaceLostNewcomer(exploration: Exploration): void {
  loseForGood(exploration, 'm4');
  exploration.machines.add([]);
}

const scenarios: readonly Scenario[] = [
  {
    name: 'planned replacement, the leaver ends at once',
    begin: replaceAsPlanned,
    isLossAfterRecovery: false,
    loseMachine: (exploration) => loseForGood(exploration, 'm1'),
  },
  {
    name: 'planned replacement, the newcomer is lost',
    begin: replaceAsPlanned,
    isLossAfterRecovery: false,
    loseMachine: replaceLostNewcomer,
  },
  {
    name: 'planned replacement, the newcomer loses power',
    begin: replaceAsPlanned,
    isLossAfterRecovery: false,
    loseMachine: (exploration, plan) => losePower(exploration, plan, 'm4'),
  },
  { name: 'replacement, the newcomer is lost', begin: replaceUnplanned, isLossAfterRecovery: false, loseMachine: replaceLostNewcomer },
  {
    name: 'replacement, whoever may propose it loses power',
    begin: replaceUnplanned,
    isLossAfterRecovery: false,
    loseMachine: (exploration, plan) => losePower(exploration, plan, 'm2'),
  },
  {
    name: 'replacement with two newcomers, one is lost',
    begin: function begin(exploration) {
      replaceUnplanned(exploration);
      exploration.machines.add([]);
    },
    isLossAfterRecovery: false,
    loseMachine: (exploration) => loseForGood(exploration, 'm4'),
  },
  {
    // The leaving core stays until its seat is taken, which must not happen before the first newcomer is up to date.
    name: 'replacement with two newcomers, another core leaves meanwhile',
    begin: function begin(exploration) {
      replaceUnplanned(exploration);
      exploration.machines.add([]);
    },
    isLossAfterRecovery: false,
    loseMachine: (exploration) => machineNamed(exploration, 'm2').leave(),
  },
  {
    name: 'lost disk, the same core loses power',
    begin: (exploration, plan) => loseDisk(exploration, plan, 'm1'),
    isLossAfterRecovery: false,
    loseMachine: function loseMachine(exploration, plan) {
      if (machineNamed(exploration, 'm1').isUp()) losePower(exploration, plan, 'm1');
    },
  },
  {
    name: 'lost disk, it is lost again',
    begin: (exploration, plan) => loseDisk(exploration, plan, 'm1'),
    isLossAfterRecovery: false,
    loseMachine: function loseMachine(exploration, plan) {
      if (machineNamed(exploration, 'm1').isUp()) loseDisk(exploration, plan, 'm1');
    },
  },
  {
    name: 'after a planned replacement, another disk is lost',
    begin: replaceAsPlanned,
    isLossAfterRecovery: true,
    loseMachine: (exploration, plan) => loseDisk(exploration, plan, 'm2'),
  },
  {
    name: 'after a replacement, another core is lost and replaced',
    begin: replaceUnplanned,
    isLossAfterRecovery: true,
    loseMachine: function loseMachine(exploration) {
      loseForGood(exploration, 'm2');
      exploration.machines.add([]);
    },
  },
  {
    name: 'after a lost disk, another core loses power',
    begin: (exploration, plan) => loseDisk(exploration, plan, 'm1'),
    isLossAfterRecovery: true,
    loseMachine: (exploration, plan) => losePower(exploration, plan, 'm3'),
  },
];

async function runEvent(exploration: Exploration, plan: PlannedActions): Promise<void> {
  for (const dueAction of plan.filter((planned) => planned.atEvent <= exploration.now())) {
    plan.splice(plan.indexOf(dueAction), 1);
    dueAction.action();
  }
  await exploration.tick();
}

function isRecovered(exploration: Exploration, plan: PlannedActions): boolean {
  return plan.length === 0 && exploration.machines.unavailableSeatCount() === 0 && !exploration.machines.isSetChangePending();
}

type ScenarioRun = Readonly<{ violation: string | undefined; events: number; results: number; moments: number }>;

/** Runs a scenario with its loss at the given moment, or without the loss until the repair is done if no moment is given. */
async function runScenario(scenario: Scenario, seed: number, moment: number | undefined): Promise<ScenarioRun> {
  const exploration = explore.createExploration(seed, coreCount, 1, {
    delayed: 0.1,
    delayedSyncs: 0.2,
    lost: 0.03,
    lostCoreSetMessages: 0.03,
  });
  const plan: PlannedActions = [];
  for (const name of ['x0', 'x1']) void explore.runWriter(exploration, name, false);
  while (exploration.now() < scenarioStartEvent) await runEvent(exploration, plan);
  const momentAtStart = exploration.moments();
  scenario.begin(exploration, plan);
  while ((moment === undefined || scenario.isLossAfterRecovery) && !isRecovered(exploration, plan) && exploration.now() < maxRepairEvents)
    await runEvent(exploration, plan);
  const momentAtRecovery = exploration.moments();
  if ((moment === undefined || scenario.isLossAfterRecovery) && !isRecovered(exploration, plan))
    return { violation: `the repair took more than ${maxRepairEvents} events`, events: exploration.now(), results: 0, moments: 0 };
  if (moment !== undefined) {
    const lossMoment = (scenario.isLossAfterRecovery ? momentAtRecovery : momentAtStart) + moment;
    // After recovery there may be no more counted events; the loss is then injected all the same.
    for (const latest = exploration.now() + maxRepairEvents; exploration.moments() < lossMoment && exploration.now() < latest;)
      await runEvent(exploration, plan);
    scenario.loseMachine(exploration, plan);
    for (const until = exploration.now() + eventsAfterLoss; exploration.now() < until || plan.length > 0;)
      await runEvent(exploration, plan);
  }
  const recoveryViolation = await exploration.checkRecovery();
  const violation = explore.findViolations(exploration.results)[0] ?? recoveryViolation;
  return { violation, events: exploration.now(), results: exploration.results.length, moments: momentAtRecovery - momentAtStart };
}

/** Runs a scenario once per moment of its repair, or of the time right after it, with the loss at that moment; `stride` skips moments. */
async function runAtEveryMoment(scenario: Scenario, seed: number, stride = 1): Promise<ScenarioResult> {
  const undisturbed = await runScenario(scenario, seed, undefined);
  const last = scenario.isLossAfterRecovery ? momentsAfterRecovery : undisturbed.moments;
  let events = undisturbed.events;
  let results = undisturbed.results;
  let momentsTried = 0;
  if (undisturbed.violation !== undefined) return { violation: `without a loss: ${undisturbed.violation}`, moments: 0, events, results };
  for (let moment = 0; moment <= last; moment += stride) {
    const runWithLoss = await runScenario(scenario, seed, moment);
    momentsTried += 1;
    events += runWithLoss.events;
    results += runWithLoss.results;
    if (runWithLoss.violation !== undefined)
      return { violation: `moment ${moment}: ${runWithLoss.violation}`, moments: momentsTried, events, results };
  }
  return { violation: undefined, moments: momentsTried, events, results };
}

export const exploreLosses = { scenarios, runAtEveryMoment } as const;
