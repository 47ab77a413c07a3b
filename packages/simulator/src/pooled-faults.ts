// The failures of the pooled mode, each as one act on the fleet and a note of who was not in touch (design 10.4).
import * as Option from 'fp-ts/lib/Option.js';
import type { DrainNote, EdgeEnd, EdgeLife, Trouble } from './pooled-checks.js';
import { spareKey, type PooledCore, type PooledEdge, type PooledFleet, type PooledMember, type PooledSheet } from './pooled-fleet.js';

export type PooledStorm = Readonly<{ told: string[]; troubles: Trouble[]; lives: EdgeLife[]; ends: EdgeEnd[]; drains: DrainNote[] }>;
export type PooledFault = Readonly<{ name: string; run: (fleet: PooledFleet, storm: PooledStorm) => void | Promise<void> }>;

const returnMilliseconds = 1_000;
const newVersionSteps = 5;
const resentOrders = 4;
const resendMilliseconds = 2_000;
const lostReplies = 0.7;

function pick<Item>(fleet: PooledFleet, items: readonly Item[]): Item {
  return items[Math.floor(fleet.world.fraction() * items.length)] as Item;
}

function between(fleet: PooledFleet, least: number, most: number): number {
  return least + fleet.world.fraction() * (most - least);
}

function trouble(fleet: PooledFleet, storm: PooledStorm, who: string, milliseconds: number): void {
  storm.troubles.push({ who, from: fleet.world.now(), to: fleet.world.now() + milliseconds });
}

/** Starts again whatever has ended meanwhile; one that another fault has started already stays. */
function startEdgeLater(fleet: PooledFleet, storm: PooledStorm, slot: PooledEdge, milliseconds: number): void {
  fleet.world.at(milliseconds, function again() {
    if (slot.agent !== undefined || slot.proxy !== undefined) return;
    storm.lives.push({ edge: slot.name, life: slot.life + 1, from: fleet.world.now() });
    void fleet.startEdge(slot);
  });
}

function startCoreLater(fleet: PooledFleet, slot: PooledCore, milliseconds: number): void {
  fleet.world.at(milliseconds, function again() {
    if (slot.process?.alive() !== true) void fleet.startCore(slot);
  });
}

/** One that had said that it drains does not come back. */
function startMemberLater(fleet: PooledFleet, storm: PooledStorm, slot: PooledMember, milliseconds: number): void {
  slot.gone ||= storm.drains.some((note) => note.member === slot.member);
  fleet.world.at(milliseconds, function again() {
    fleet.world.light(slot.machine);
    if (!slot.gone && slot.process?.alive() !== true) void fleet.startMember(slot);
  });
}

function runningEdge(fleet: PooledFleet): PooledEdge | undefined {
  return pick(
    fleet,
    fleet.edges.filter((slot) => slot.agent !== undefined && slot.proxy !== undefined),
  );
}

function runningPrimary(fleet: PooledFleet): PooledMember | undefined {
  return pick(
    fleet,
    fleet.services.flatMap((service) => {
      const slot = fleet.primaryOf(service);
      return slot?.running !== undefined && slot.process?.alive() === true ? [slot] : [];
    }),
  );
}

function killEdge(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = runningEdge(fleet);
  if (slot === undefined) return;
  trouble(fleet, storm, slot.name, returnMilliseconds);
  fleet.killEdge(slot);
  startEdgeLater(fleet, storm, slot, returnMilliseconds);
}

async function drainEdge(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  const slot = runningEdge(fleet);
  if (slot === undefined) return;
  const from = fleet.world.now();
  const { life } = slot;
  await fleet.drainEdge(slot);
  if (slot.life !== life) return;
  const to = fleet.world.now();
  storm.ends.push({ edge: slot.name, from, to });
  // What it counted is told before it ends; only what follows is out of touch.
  storm.troubles.push({ who: `${slot.name} ends`, from, to: to + returnMilliseconds });
  startEdgeLater(fleet, storm, slot, returnMilliseconds);
}

function killCore(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(fleet, fleet.cores);
  const milliseconds = between(fleet, 500, 5_000);
  trouble(fleet, storm, 'core', milliseconds);
  fleet.stopCore(slot);
  startCoreLater(fleet, slot, milliseconds);
}

function cutOff(fleet: PooledFleet, machine: string, others: readonly string[], milliseconds: number): void {
  for (const other of others.filter((one) => one !== machine)) {
    fleet.world.cut(machine, other);
    fleet.world.cut(other, machine);
    fleet.world.at(milliseconds, function heal() {
      fleet.world.heal(machine, other);
      fleet.world.heal(other, machine);
    });
  }
}

function coreMachines(fleet: PooledFleet): readonly string[] {
  return fleet.cores.map((slot) => slot.machine);
}

function cutCore(fleet: PooledFleet, storm: PooledStorm): void {
  const milliseconds = between(fleet, 500, 8_000);
  trouble(fleet, storm, 'core', milliseconds);
  cutOff(fleet, pick(fleet, fleet.cores).machine, [...fleet.machines(), 'platform-machine', 'operator-machine'], milliseconds);
}

function freezeEdge(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 300, 9_000);
  trouble(fleet, storm, slot.name, milliseconds);
  fleet.freezeEdge(slot, milliseconds);
}

function cutEdge(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 500, 9_000);
  trouble(fleet, storm, slot.name, milliseconds);
  cutOff(fleet, slot.machine, coreMachines(fleet), milliseconds);
}

/** From all cores, or from all members as well. */
function cutPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 4_000, 12_000);
  trouble(fleet, storm, 'member', milliseconds);
  const members = fleet.world.fraction() < 0.5 ? fleet.members.map((one) => one.machine) : [];
  cutOff(fleet, slot.machine, [...coreMachines(fleet), ...members], milliseconds);
}

/** A primary and an edge on the wrong side, now and then with a core: the edge still reaches a primary that is soon deposed, and senders reach the edge. */
function cutHalf(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const edge = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 7_000, 14_000);
  trouble(fleet, storm, 'member', milliseconds);
  trouble(fleet, storm, edge.name, milliseconds);
  const withCore = fleet.world.fraction() < 0.5;
  const inside = [slot.machine, edge.machine, ...(withCore ? [pick(fleet, fleet.cores).machine] : [])];
  if (withCore) trouble(fleet, storm, 'core', milliseconds);
  const others = [...fleet.machines(), 'platform-machine', 'operator-machine'].filter((machine) => !inside.includes(machine));
  for (const machine of inside) cutOff(fleet, machine, others, milliseconds);
}

/** The hand-over begins while an edge that has just gone silent may still hold its lease; whoever led receives nothing for a while. */
async function drainPastEdge(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  const edge = pick(fleet, fleet.edges);
  const milliseconds = between(fleet, 3_000, 6_000);
  const slot = runningPrimary(fleet);
  const knobs = slot?.running?.knobs;
  await drainMember(fleet, storm, slot);
  if (knobs !== undefined) {
    knobs.deaf = true;
    fleet.world.at(milliseconds, function over() {
      knobs.deaf = false;
    });
  }
  trouble(fleet, storm, edge.name, milliseconds);
  cutOff(fleet, edge.machine, coreMachines(fleet), milliseconds);
}

function crashPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 300, 12_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.stopMember(slot);
  startMemberLater(fleet, storm, slot, milliseconds);
}

function darkenPrimary(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = runningPrimary(fleet);
  if (slot === undefined) return;
  const milliseconds = between(fleet, 2_000, 14_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.world.darken(slot.machine);
  slot.running = undefined;
  startMemberLater(fleet, storm, slot, milliseconds);
}

function crashReplica(fleet: PooledFleet, storm: PooledStorm): void {
  noteDrains(fleet, storm);
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
  );
  if (slot === undefined) return;
  const milliseconds = between(fleet, 300, 9_000);
  trouble(fleet, storm, 'member', milliseconds);
  fleet.stopMember(slot);
  startMemberLater(fleet, storm, slot, milliseconds);
}

/** A member is to be replaced: another comes first, and takes its time to catch up. */
async function drainMember(fleet: PooledFleet, storm: PooledStorm, slot: PooledMember | undefined): Promise<void> {
  const running = slot?.running;
  if (
    slot === undefined ||
    running === undefined ||
    Option.isSome(running.drainingSince()) ||
    fleet.members.some((one) => !one.gone && one.running === undefined)
  )
    return;
  const fresh = fleet.addMember(slot.service, slot.area);
  await fleet.startMember(fresh);
  trouble(fleet, storm, 'member', 12_000);
  void running.drain().then(function ended() {
    slot.gone = true;
    fleet.stopMember(slot);
  });
}

function noteDrains(fleet: PooledFleet, storm: PooledStorm): void {
  for (const slot of fleet.members) {
    const since = slot.running === undefined ? Option.none : slot.running.drainingSince();
    if (Option.isSome(since) && !storm.drains.some((note) => note.member === slot.member))
      storm.drains.push({ member: slot.member, acknowledgedAt: since.value });
  }
}

function deafReplica(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
  );
  if (slot?.running === undefined) return;
  const { knobs } = slot.running;
  const milliseconds = between(fleet, 1_000, 8_000);
  trouble(fleet, storm, 'member', milliseconds);
  if (fleet.world.fraction() < 0.5) knobs.deaf = true;
  else knobs.behindMilliseconds = between(fleet, 200, 4_000);
  fleet.world.at(milliseconds, function over() {
    knobs.deaf = false;
    knobs.behindMilliseconds = 0;
  });
}

function loseReplies(fleet: PooledFleet, storm: PooledStorm): void {
  const slot = pick(
    fleet,
    fleet.members.filter((one) => one.running !== undefined),
  );
  if (slot?.running === undefined) return;
  trouble(fleet, storm, 'member', 3_000);
  if (fleet.world.fraction() < 0.5) slot.running.knobs.loseReplies += 4;
  else slot.running.knobs.loseCommits += 4;
}

function slowPlatform(fleet: PooledFleet, storm: PooledStorm): void {
  const { knobs } = fleet.platform();
  const milliseconds = between(fleet, 2_000, 12_000);
  trouble(fleet, storm, 'platform', milliseconds);
  const kind = pick(fleet, ['slow', 'down', 'lost'] as const);
  if (kind === 'slow') knobs.slowMilliseconds = between(fleet, 300, 3_000);
  else if (kind === 'down') knobs.down = true;
  else knobs.losesReplies = true;
  fleet.world.at(milliseconds, function over() {
    knobs.slowMilliseconds = 0;
    knobs.down = false;
    knobs.losesReplies = false;
  });
}

function nextVersion(fleet: PooledFleet): number {
  return Math.max(...fleet.versions.map((sent) => sent.version)) + 1 + Math.floor(fleet.world.fraction() * newVersionSteps);
}

function lastSheet(fleet: PooledFleet): PooledSheet {
  const standing = fleet.versions.filter((sent) => !sent.refused);
  return standing.sort((left, right) => right.version - left.version)[0]?.sheet ?? fleet.firstSheet();
}

/** A database comes, goes, or moves to another service; now and then two operators send at once. */
function changeConfiguration(fleet: PooledFleet): void {
  const before = lastSheet(fleet);
  const kind = pick(fleet, ['add', 'remove', 'move'] as const);
  const [model] = before.databases;
  const extra = before.databases.find((one) => one.database.startsWith('extra'));
  const databases =
    kind === 'add' && model !== undefined
      ? [...before.databases, { ...model, database: `extra-${fleet.versions.length}`, service: pick(fleet, fleet.services) }]
      : kind === 'remove' && extra !== undefined
        ? before.databases.filter((one) => one !== extra)
        : before.databases.map((one) =>
            one.database === `${fleet.services[0]}-late`
              ? {
                  ...one,
                  service: pick(
                    fleet,
                    fleet.services.filter((service) => service !== one.service),
                  ),
                }
              : one,
          );
  const next = nextVersion(fleet);
  void fleet.configure(next, { ...before, databases }, Math.floor(fleet.world.fraction() * fleet.cores.length));
  if (fleet.world.fraction() < 0.3)
    void fleet.configure(next + 1, { ...before, databases }, Math.floor(fleet.world.fraction() * fleet.cores.length));
}

/** A sheet that nobody else sends: it has a database of its own. */
function ownSheet(fleet: PooledFleet): PooledSheet {
  const before = lastSheet(fleet);
  const [model] = before.databases;
  if (model === undefined) return before;
  const database = { ...model, database: `extra-${fleet.versions.length}`, service: pick(fleet, fleet.services) };
  return { ...before, databases: [...before.databases, database] };
}

function anyCore(fleet: PooledFleet): number {
  return Math.floor(fleet.world.fraction() * fleet.cores.length);
}

/** Two operators send sheets of their own under one number, each until it gets a clear reply. */
function raceOrders(fleet: PooledFleet): void {
  const number = nextVersion(fleet);
  void fleet.configure(number, ownSheet(fleet), anyCore(fleet));
  const second = ownSheet(fleet);
  fleet.world.at(between(fleet, 0, 60), () => void fleet.configure(number, second, anyCore(fleet)));
}

/** What was sent before arrives again, to any core. */
function resendOrders(fleet: PooledFleet): void {
  for (let count = 0; count < resentOrders; count += 1) {
    const sent = pick(fleet, fleet.versions);
    fleet.world.at(between(fleet, 0, resendMilliseconds), () => void fleet.resend(sent, anyCore(fleet)));
  }
}

/** Another sheet comes under a number that was sent before, or under an older one that nobody has used. */
function reuseNumbers(fleet: PooledFleet): void {
  const numbers = fleet.versions.map((sent) => sent.version);
  const highest = Math.max(...numbers);
  const unused = Array.from({ length: highest }, (_, index) => index + 1).filter((number) => !numbers.includes(number));
  void fleet.configure(pick(fleet, numbers), ownSheet(fleet), anyCore(fleet));
  if (unused.length > 0) {
    const number = pick(fleet, unused);
    void fleet.configure(number, ownSheet(fleet), anyCore(fleet));
    void fleet.configure(number, ownSheet(fleet), anyCore(fleet));
  }
}

/** Replies to operators are lost on their way while orders are raced. */
function loseAcknowledgements(fleet: PooledFleet): void {
  fleet.operatorKnobs.losesReplies = lostReplies;
  fleet.world.at(between(fleet, 1_000, 6_000), function over() {
    fleet.operatorKnobs.losesReplies = 0;
  });
  raceOrders(fleet);
  fleet.world.at(resendMilliseconds / 2, () => reuseNumbers(fleet));
}

/** Orders are raced while a core crashes, or is cut off from all others. */
function raceThroughTrouble(fleet: PooledFleet, storm: PooledStorm): void {
  fleet.world.at(between(fleet, 0, 40), () => (fleet.world.fraction() < 0.5 ? killCore(fleet, storm) : cutCore(fleet, storm)));
  raceOrders(fleet);
  fleet.world.at(resendMilliseconds, () => resendOrders(fleet));
}

function withdrawKey(fleet: PooledFleet): void {
  const before = lastSheet(fleet);
  const has = before.tenants.some((tenant) => tenant.keys.includes(spareKey));
  const tenants = before.tenants.map((tenant, index) =>
    index > 0 ? tenant : { ...tenant, keys: has ? tenant.keys.filter((key) => key !== spareKey) : [...tenant.keys, spareKey] },
  );
  void fleet.configure(nextVersion(fleet), { ...before, tenants }, Math.floor(fleet.world.fraction() * fleet.cores.length));
}

function stopAll(fleet: PooledFleet, storm: PooledStorm): void {
  trouble(fleet, storm, 'all', 2_500);
  for (const slot of fleet.cores) {
    fleet.stopCore(slot);
    startCoreLater(fleet, slot, between(fleet, 300, 2_000));
  }
  for (const slot of fleet.edges) {
    fleet.killEdge(slot);
    startEdgeLater(fleet, storm, slot, between(fleet, 300, 2_000));
  }
}

/** A replica that lacks the last commits, and then the primary is gone. */
function crashBehindDeaf(fleet: PooledFleet, storm: PooledStorm): void {
  deafReplica(fleet, storm);
  fleet.world.at(between(fleet, 200, 2_000), () => crashPrimary(fleet, storm));
}

const every: readonly PooledFault[] = [
  { name: 'edge-killed', run: killEdge },
  { name: 'edge-drained', run: drainEdge },
  { name: 'core-killed', run: killCore },
  { name: 'core-cut', run: cutCore },
  { name: 'edge-frozen', run: freezeEdge },
  { name: 'edge-cut', run: cutEdge },
  { name: 'primary-crashed', run: crashPrimary },
  { name: 'primary-dark', run: darkenPrimary },
  { name: 'primary-cut', run: cutPrimary },
  { name: 'primary-and-edge-cut', run: cutHalf },
  { name: 'primary-draining-edge-cut', run: drainPastEdge },
  { name: 'primary-draining', run: (fleet, storm) => drainMember(fleet, storm, runningPrimary(fleet)) },
  {
    name: 'replica-draining',
    run: (fleet, storm) =>
      drainMember(
        fleet,
        storm,
        pick(
          fleet,
          fleet.members.filter((one) => one.running !== undefined && one.store.role === 'replica'),
        ),
      ),
  },
  { name: 'replica-crashed', run: crashReplica },
  { name: 'replica-deaf', run: deafReplica },
  { name: 'primary-crashed-replica-deaf', run: crashBehindDeaf },
  { name: 'replies-lost', run: loseReplies },
  { name: 'platform-slow', run: slowPlatform },
  { name: 'configuration-changed', run: changeConfiguration },
  { name: 'key-withdrawn', run: withdrawKey },
  { name: 'orders-raced', run: raceOrders },
  { name: 'orders-resent', run: resendOrders },
  { name: 'order-numbers-reused', run: reuseNumbers },
  { name: 'acknowledgements-lost', run: loseAcknowledgements },
  { name: 'orders-raced-in-trouble', run: raceThroughTrouble },
  { name: 'all-stopped', run: stopAll },
];

/** Everything runs again; what another fault was about to start comes now. */
async function restore(fleet: PooledFleet, storm: PooledStorm): Promise<void> {
  fleet.world.healAll();
  fleet.operatorKnobs.losesReplies = 0;
  Object.assign(fleet.platform().knobs, { slowMilliseconds: 0, down: false, losesReplies: false });
  for (const slot of fleet.cores) if (slot.process?.alive() !== true) await fleet.startCore(slot);
  for (const slot of fleet.edges) {
    if (slot.agent !== undefined && slot.proxy !== undefined) continue;
    fleet.killEdge(slot);
    storm.lives.push({ edge: slot.name, life: slot.life + 1, from: fleet.world.now() });
    await fleet.startEdge(slot);
  }
  for (const slot of fleet.members) {
    if (slot.running !== undefined)
      Object.assign(slot.running.knobs, { deaf: false, behindMilliseconds: 0, loseReplies: 0, loseCommits: 0, silent: false });
    if (slot.gone || slot.process?.alive() === true) continue;
    fleet.world.light(slot.machine);
    await fleet.startMember(slot);
  }
}

export const pooledFaults = { every, restore, noteDrains, pick, between } as const;
