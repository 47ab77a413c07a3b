/** How each action of a schedule is carried out, and what it excuses: spans in which an edge, the cores, a member or the platform are not in touch. */
import type { EdgeEnd, EdgeLife, InvalidOrder, PooledSheet, Trouble, DrainNote } from '@stallstall/simulator';
import * as Option from 'fp-ts/lib/Option.js';
import type { SoakFleet } from './soak-fleet.js';
import type { SoakMember } from './soak-members.js';
import type { SoakCore, SoakEdge } from './soak-nodes.js';
import type { SoakAction } from './soak-schedule.js';

/** What happened, for the checkers. */
export type SoakRecord = Readonly<{
  troubles: Trouble[];
  lives: EdgeLife[];
  ends: EdgeEnd[];
  drains: DrainNote[];
  invalidOrders: InvalidOrder[];
  /** Orders that have neither been answered clearly nor given up. */
  readonly pendingOrders: Set<Promise<boolean>>;
}>;

type Parts = 'agent' | 'proxy' | 'both';
type Soak = Readonly<{ fleet: SoakFleet; record: SoakRecord }>;
type Action<Kind extends SoakAction['kind']> = Extract<SoakAction, { kind: Kind }>;

const edgeGraceMilliseconds = 6_500;
const coreGraceMilliseconds = 7_500;
/** Until a process that starts answers. */
const startMilliseconds = 2_500;
const successorMilliseconds = 1_000;
const seedLagMilliseconds = 3_000;
const newVersionSteps = 5;
const keyToggled = 'key-spare';
const databasesKept = 4;

function now({ fleet }: Soak): number {
  return fleet.runtime.clock.now();
}

function trouble(soak: Soak, who: string, milliseconds: number): void {
  soak.record.troubles.push({ who, from: now(soak), to: now(soak) + milliseconds });
}

/** A loss that leaves a majority of cores is trouble at its moments alone. */
function moment(soak: Soak, who: string): void {
  trouble(soak, who, 0);
}

function processesOf(edge: SoakEdge, parts: Parts): readonly SoakEdge['agent'][] {
  return [...(parts === 'proxy' ? [] : [edge.agent]), ...(parts === 'agent' ? [] : [edge.proxy])];
}

async function startEdge(soak: Soak, edge: SoakEdge): Promise<void> {
  soak.record.lives.push({ edge: edge.name, life: edge.life + 1, from: now(soak) });
  trouble(soak, edge.name, startMilliseconds);
  await soak.fleet.startEdge(edge);
  moment(soak, edge.name);
}

async function terminateEdge(soak: Soak, edge: SoakEdge): Promise<void> {
  if (!edge.agent.isRunning() || !edge.proxy.isRunning()) return;
  const from = now(soak);
  const { life } = edge;
  await Promise.all([edge.agent.terminate(edgeGraceMilliseconds), edge.proxy.terminate(edgeGraceMilliseconds)]);
  // A process that was killed meanwhile has begun another life of the edge, so that this was no planned end.
  if (edge.life === life) {
    soak.record.ends.push({ edge: edge.name, from, to: now(soak) });
    soak.record.troubles.push({ who: `${edge.name} ends`, from, to: now(soak) });
  }
  if (!edge.agent.isRunning() || !edge.proxy.isRunning()) await startEdge(soak, edge);
}

async function killEdge(soak: Soak, edge: SoakEdge, parts: Parts): Promise<void> {
  trouble(soak, edge.name, startMilliseconds);
  await Promise.all(processesOf(edge, parts).map((process) => process.kill()));
  await startEdge(soak, edge);
}

async function freezeEdge(soak: Soak, edge: SoakEdge, { parts, milliseconds }: Action<'edge-frozen'>): Promise<void> {
  trouble(soak, edge.name, milliseconds);
  for (const process of processesOf(edge, parts)) process.signal('SIGSTOP');
  await soak.fleet.runtime.clock.sleep(milliseconds);
  for (const process of processesOf(edge, parts)) process.signal('SIGCONT');
  moment(soak, edge.name);
}

/** Everyone reads its settings again, a start under way included. */
function hangUp(soak: Soak): void {
  soak.fleet.writeSeeds();
  for (const process of soak.fleet.processes()) process.signal('SIGHUP');
}

async function startCore(soak: Soak, core: SoakCore): Promise<void> {
  if (!soak.fleet.cores.includes(core)) return;
  await soak.fleet.startCore(core);
  moment(soak, 'core');
}

async function killCore(soak: Soak, core: SoakCore, milliseconds: number): Promise<void> {
  moment(soak, 'core');
  await core.process.kill();
  await soak.fleet.runtime.clock.sleep(milliseconds);
  moment(soak, 'core');
  await startCore(soak, core);
}

async function terminateCore(soak: Soak, core: SoakCore, milliseconds: number): Promise<void> {
  moment(soak, 'core');
  await core.process.terminate(coreGraceMilliseconds);
  moment(soak, 'core');
  await soak.fleet.runtime.clock.sleep(milliseconds);
  moment(soak, 'core');
  await startCore(soak, core);
}

async function freezeCore(soak: Soak, core: SoakCore, milliseconds: number): Promise<void> {
  moment(soak, 'core');
  core.process.signal('SIGSTOP');
  await soak.fleet.runtime.clock.sleep(milliseconds);
  core.process.signal('SIGCONT');
  moment(soak, 'core');
}

/** The successor runs first, then the old core is ended; settings name the successor some seconds later. */
async function replaceCore(soak: Soak, core: SoakCore): Promise<void> {
  const { fleet } = soak;
  moment(soak, 'core');
  const successor = fleet.addCore(core.area);
  await fleet.startCore(successor);
  moment(soak, 'core');
  await fleet.runtime.clock.sleep(successorMilliseconds);
  moment(soak, 'core');
  await core.process.terminate(coreGraceMilliseconds);
  fleet.cores.splice(fleet.cores.indexOf(core), 1);
  moment(soak, 'core');
  await fleet.runtime.clock.sleep(seedLagMilliseconds);
  fleet.writeSeeds();
}

async function troubleDisk(soak: Soak, core: SoakCore, { fault, milliseconds }: Action<'core-disk'>): Promise<void> {
  trouble(soak, 'core', milliseconds);
  core.process.send({ kind: 'disk', fault });
  await soak.fleet.runtime.clock.sleep(milliseconds);
  core.process.send({ kind: 'disk', fault: 'none' });
  moment(soak, 'core');
}

async function killAllCores(soak: Soak, milliseconds: number): Promise<void> {
  const { cores, runtime } = soak.fleet;
  trouble(soak, 'all', milliseconds + startMilliseconds);
  const lost = [...cores];
  await Promise.all(lost.map((core) => core.process.kill()));
  await runtime.clock.sleep(milliseconds);
  await Promise.all(lost.map((core) => startCore(soak, core)));
  moment(soak, 'all');
}

/** A member that has said that it drains is judged from then on, and does not come back. */
function noteDrain({ record }: Soak, member: SoakMember): void {
  const since = member.running?.drainingSince() ?? Option.none;
  if (Option.isNone(since) || record.drains.some((note) => note.member === member.member)) return;
  record.drains.push({ member: member.member, acknowledgedAt: since.value, endedAt: Number.POSITIVE_INFINITY });
  member.gone = true;
}

async function killMember(soak: Soak, member: SoakMember, milliseconds: number): Promise<void> {
  if (member.running === undefined) return;
  trouble(soak, 'member', milliseconds);
  noteDrain(soak, member);
  await soak.fleet.stopMember(member);
  await soak.fleet.runtime.clock.sleep(milliseconds);
  moment(soak, 'member');
  await soak.fleet.startMember(member);
}

/** A successor comes first; whoever is replaced drains, leaves and ends. */
async function drainMember(soak: Soak, member: SoakMember): Promise<void> {
  const { fleet } = soak;
  const { running } = member;
  if (running === undefined || member.gone || Option.isSome(running.drainingSince())) return;
  await fleet.startMember(fleet.addMember(member.service, member.area));
  trouble(soak, 'member', 12_000);
  await running.drain();
  noteDrain(soak, member);
  member.gone = true;
  await fleet.stopMember(member);
}

function nextVersion({ fleet }: Soak): number {
  return Math.max(...fleet.versions.map((sent) => sent.version)) + 1 + (fleet.versions.length % newVersionSteps);
}

function lastSheet({ fleet }: Soak): PooledSheet {
  const standing = fleet.versions.filter((sent) => !sent.refused);
  return standing.reduce((newest, sent) => (sent.version > newest.version ? sent : newest)).sheet;
}

function isOrder({ database }: PooledSheet['databases'][number]): boolean {
  return database.startsWith('order-');
}

/** Its database is named for its version; the last few stay, so that whoever is behind is seen to be. */
function sendOrder(soak: Soak, { core, changesKey }: Action<'order'>): void {
  const { fleet, record } = soak;
  const before = lastSheet(soak);
  const version = nextVersion(soak);
  const [model] = before.databases;
  if (model === undefined) return;
  const kept = before.databases.filter((one) => isOrder(one)).slice(1 - databasesKept);
  const databases = [...before.databases.filter((one) => !isOrder(one)), ...kept, { ...model, database: `order-${version}` }];
  const tenants = before.tenants.map(function toggle(tenant, index) {
    if (!changesKey || index > 0) return tenant;
    const hasKey = tenant.keys.includes(keyToggled);
    return { ...tenant, keys: hasKey ? tenant.keys.filter((key) => key !== keyToggled) : [...tenant.keys, keyToggled] };
  });
  const order = fleet.configure(version, { ...before, databases, tenants }, core % fleet.cores.length);
  record.pendingOrders.add(order);
  void order.then(() => record.pendingOrders.delete(order));
}

async function sendInvalid(soak: Soak, core: number): Promise<void> {
  const { fleet, record } = soak;
  const sheet = { ...lastSheet(soak), services: undefined };
  const reply = await fleet.call(core % fleet.cores.length, '/configuration', { version: nextVersion(soak), sheet });
  record.invalidOrders.push({ variant: 'without services', at: now(soak), status: reply.status });
}

async function loseReplies(soak: Soak, { share, milliseconds }: Action<'replies-lost'>): Promise<void> {
  soak.fleet.operatorTrouble.lostShare = share;
  await soak.fleet.runtime.clock.sleep(milliseconds);
  soak.fleet.operatorTrouble.lostShare = 0;
}

function primaryOf({ fleet }: Soak, service: number): SoakMember | undefined {
  return fleet.primaryOf(fleet.services[service % fleet.services.length] ?? '');
}

/** The item at a place; places beyond the end begin anew, for lists change while a schedule is played. */
function at<Item>(items: readonly Item[], place: number): Item {
  return items[place % items.length] as Item;
}

/** Carries out an action; resolves once all that it took away is back. */
async function perform(soak: Soak, action: SoakAction): Promise<void> {
  const { fleet } = soak;
  switch (action.kind) {
    case 'edge-terminated':
      return terminateEdge(soak, at(fleet.edges, action.edge));
    case 'edge-killed':
      return killEdge(soak, at(fleet.edges, action.edge), action.parts);
    case 'edge-frozen':
      return freezeEdge(soak, at(fleet.edges, action.edge), action);
    case 'all-edges-killed':
      await Promise.all(fleet.edges.map((edge) => killEdge(soak, edge, 'both')));
      return;
    case 'hang-up':
      return hangUp(soak);
    case 'core-killed':
      return killCore(soak, at(fleet.cores, action.core), action.milliseconds);
    case 'core-frozen':
      return freezeCore(soak, at(fleet.cores, action.core), action.milliseconds);
    case 'core-terminated':
      return terminateCore(soak, at(fleet.cores, action.core), action.milliseconds);
    case 'core-replaced':
      return replaceCore(soak, at(fleet.cores, action.core));
    case 'core-disk':
      return troubleDisk(soak, at(fleet.cores, action.core), action);
    case 'all-cores-killed':
      return killAllCores(soak, action.milliseconds);
    case 'member-drained':
      return drainMember(soak, at(fleet.members, action.member));
    case 'member-killed':
      return killMember(soak, at(fleet.members, action.member), action.milliseconds);
    case 'primary-killed': {
      const primary = primaryOf(soak, action.service);
      return primary === undefined ? undefined : killMember(soak, primary, action.milliseconds);
    }
    case 'order':
      return sendOrder(soak, action);
    case 'invalid-order':
      return sendInvalid(soak, action.core);
    case 'replies-lost':
      return loseReplies(soak, action);
  }
}

export const soakActions = { perform } as const;
