/**
 * A model of one service whose commits wait for synchronous replicas: it explores every order of commits, departures, silence, crashes, returns,
 * promotions and changes of the replica set up to a depth, with the product's own rules (design 7.15). A member is in the set before it
 * confirms its first commit. A violation is a promotion of a member that lacks an acknowledged commit.
 */
import * as Option from 'fp-ts/lib/Option.js';
import { commitCoverage, replicaSets, type Electorate, type MemberState } from '@stallstall/election';
import type { ReplicaSet } from '@stallstall/message';
import type { MemberPlacement, ServicePlacement } from '@stallstall/placement';

/**
 * `up`: its process runs. `dark`: the cores cannot reach it, though other members can. `registered`: it is in the cores' list of members.
 * `log`: commits with the term that each was made in.
 */
type ModelMember = Readonly<{
  name: string;
  up: boolean;
  dark: boolean;
  registered: boolean;
  left: boolean;
  term: number;
  log: readonly string[];
}>;

type ModelState = Readonly<{
  members: readonly ModelMember[];
  /** The member that the platform promoted last. */
  primary: string;
  term: number;
  set: ReplicaSet;
  version: number;
  configuredReplicas: number;
  /** A change of the set that a keeper has computed and not written yet. */
  proposed: Option.Option<Readonly<{ version: number; set: ReplicaSet }>>;
  acknowledged: readonly string[];
}>;

type Step = Readonly<{ name: string; state: ModelState }>;

/** The rules that the model may replace by faulty ones, to show that it finds what they lose. */
export type ReplicaSetRules = Pick<typeof replicaSets, 'electorate' | 'settle'>;

export type ReplicaSetModelOptions = Readonly<{
  synchronousReplicas: number;
  /** Numbers of synchronous replicas that an operator may configure meanwhile. */
  configurable?: readonly number[];
  depth: number;
  rules?: ReplicaSetRules;
}>;

/** `trace`: the steps that led to the violation; none if there was none. */
export type ReplicaSetExploration = Readonly<{
  states: number;
  promotions: number;
  waits: number;
  violation: Option.Option<readonly string[]>;
}>;

const names = ['m1', 'm2', 'm3', 'm4'] as const;
const foundingMembers = 3;
const maximumCommits = 2;

function memberNamed(state: ModelState, name: string): ModelMember {
  return state.members.find((member) => member.name === name) as ModelMember;
}

function withMember(state: ModelState, name: string, change: Partial<ModelMember>): ModelState {
  return { ...state, members: state.members.map((member) => (member.name === name ? { ...member, ...change } : member)) };
}

function serviceOf(state: ModelState): ServicePlacement {
  const members = state.members
    .filter((member) => member.registered)
    .map((member): MemberPlacement => ({ member: member.name, address: member.name, area: '-', state: 'serving' }));
  return { service: 'bookings', registered: true, members, synchronousReplicas: state.configuredReplicas } as unknown as ServicePlacement;
}

function stateOf(state: ModelState, member: ModelMember): MemberState {
  const last = member.log.at(-1);
  return {
    member: member.name,
    role: state.primary === member.name ? 'primary' : 'replica',
    epoch: last === undefined ? 0 : Number(last.split('.')[0]),
    received: member.log.length,
    applied: member.log.length,
    term: member.term,
  };
}

function repliesToCores(member: ModelMember): boolean {
  return member.up && !member.dark;
}

/** A running replica has all that the primary's log holds; what it had beyond is cut back. */
function replicate(state: ModelState, name: string): ModelState {
  return withMember(state, name, { log: memberNamed(state, state.primary).log, term: state.term });
}

function replicasOf(state: ModelState): readonly ModelMember[] {
  return state.members.filter((member) => member.up && member.name !== state.primary);
}

/** Every choice of `count` of the names. */
function choices(of: readonly string[], count: number): ReadonlyArray<readonly string[]> {
  if (count === 0) return [[]];
  return of.flatMap((name, index) => choices(of.slice(index + 1), count - 1).map((rest) => [name, ...rest]));
}

/** A commit on the primary that is acknowledged once the configured number of replicas has received it. */
function commitSteps(state: ModelState): readonly Step[] {
  const primary = memberNamed(state, state.primary);
  if (!primary.up || state.acknowledged.length >= maximumCommits || state.configuredReplicas === 0) return [];
  const commit = `${state.term}.${state.acknowledged.length + 1}`;
  const replicas = replicasOf(state).map((member) => member.name);
  return choices(replicas, state.configuredReplicas).map(function acknowledge(confirming) {
    const written = withMember(state, primary.name, { log: [...primary.log, commit] });
    const received = confirming.reduce((next, name) => replicate(next, name), written);
    return {
      name: `commit on ${primary.name} and ${confirming.join(' and ')}`,
      state: { ...received, acknowledged: [...state.acknowledged, commit] },
    };
  });
}

function replicationSteps(state: ModelState): readonly Step[] {
  if (!memberNamed(state, state.primary).up) return [];
  const behind = replicasOf(state).filter((member) => member.log.join() !== memberNamed(state, state.primary).log.join());
  return behind.map((member) => ({ name: `${member.name} catches up`, state: replicate(state, member.name) }));
}

/** What a member does or suffers by itself. */
function memberSteps(state: ModelState): readonly Step[] {
  return state.members.flatMap(function steps(member): readonly Step[] {
    const { name } = member;
    const found: Step[] = [];
    if (member.up) found.push({ name: `${name} ${member.left ? 'ends' : 'crashes'}`, state: withMember(state, name, { up: false }) });
    if (member.up && !member.left)
      found.push({ name: `${name} leaves`, state: withMember(state, name, { left: true, registered: false }) });
    if (!member.up && !member.left)
      found.push({ name: `${name} returns`, state: withMember(state, name, { up: true, registered: !member.dark }) });
    if (!member.dark) found.push({ name: `${name} goes dark`, state: withMember(state, name, { dark: true }) });
    else
      found.push({ name: `${name} is seen again`, state: withMember(state, name, { dark: false, registered: member.up && !member.left }) });
    if (member.registered && !repliesToCores(member))
      found.push({ name: `${name} is forgotten`, state: withMember(state, name, { registered: false }) });
    return found;
  });
}

/** A new member joins with an empty log, and is admitted to the set. */
function joinSteps(state: ModelState): readonly Step[] {
  const name = names[state.members.length];
  if (name === undefined) return [];
  const joined: ModelMember = { name, up: true, dark: false, registered: true, left: false, term: state.term, log: [] };
  return [{ name: `${name} joins`, state: admit({ ...state, members: [...state.members, joined] }) }];
}

function admit(state: ModelState): ModelState {
  const set = replicaSets.admit(state.set, serviceOf(state), (member) => memberNamed(state, member).left);
  return set === state.set ? state : { ...state, set, version: state.version + 1 };
}

/** A keeper reads the set and the members' states, and later writes what follows from them. */
function keeperSteps(state: ModelState, { settle }: ReplicaSetRules): readonly Step[] {
  const admitted = admit(state);
  const steps: Step[] = admitted === state ? [] : [{ name: 'a keeper admits members', state: admitted }];
  if (Option.isSome(state.proposed)) {
    const { version, set } = state.proposed.value;
    const written = version === state.version ? { ...state, set, version: version + 1 } : state;
    return [...steps, { name: 'a keeper writes its change', state: { ...written, proposed: Option.none } }];
  }
  const former = state.members.filter((member) => !member.registered && !member.up && !member.dark);
  const states = state.members.filter((member) => member.registered && repliesToCores(member)).map((member) => stateOf(state, member));
  const set = settle(state.set, serviceOf(state), {
    primary: state.primary,
    states,
    ended: new Set(former.map((member) => member.name)),
  });
  if (set === state.set || JSON.stringify(set) === JSON.stringify(state.set)) return steps;
  return [...steps, { name: 'a keeper computes a change', state: { ...state, proposed: Option.some({ version: state.version, set }) } }];
}

function configurationSteps(state: ModelState, configurable: readonly number[]): readonly Step[] {
  return configurable
    .filter((replicas) => replicas !== state.configuredReplicas)
    .map((replicas) => ({ name: `${replicas} synchronous replicas are configured`, state: { ...state, configuredReplicas: replicas } }));
}

function electorateOf(state: ModelState, { electorate }: ReplicaSetRules): Electorate {
  return electorate(Option.some(state.set), serviceOf(state));
}

/** Promotions that the rules allow while the primary does not reply; empty while an election waits. */
function promotionSteps(state: ModelState, rules: ReplicaSetRules): readonly Step[] {
  if (repliesToCores(memberNamed(state, state.primary))) return [];
  const electorate = electorateOf(state, rules);
  const replies = electorate.members.flatMap(function reply(placement) {
    const member = memberNamed(state, placement.member);
    return repliesToCores(member) ? [{ placement, state: stateOf(state, member) }] : [];
  });
  return replies
    .filter(({ placement }) => placement.state === 'serving')
    .filter((candidate) => commitCoverage.hasLongestLog(electorate, replies, candidate))
    .map(({ placement }) => ({
      name: `${placement.member} is promoted`,
      state: withMember({ ...state, primary: placement.member, term: state.term + 1 }, placement.member, { term: state.term + 1 }),
    }));
}

function isLossy(state: ModelState): boolean {
  return state.acknowledged.some((commit) => !memberNamed(state, state.primary).log.includes(commit));
}

function initialState({ synchronousReplicas }: ReplicaSetModelOptions): ModelState {
  const founders = names.slice(0, foundingMembers);
  return {
    members: founders.map((name) => ({ name, up: true, dark: false, registered: true, left: false, term: 1, log: [] })),
    primary: names[0],
    term: 1,
    set: { synchronousReplicas, members: founders.map((name) => ({ member: name, address: name, hasLeft: false })) },
    version: 1,
    configuredReplicas: synchronousReplicas,
    proposed: Option.none,
    acknowledged: [],
  };
}

/** Explores breadth first, so that a violation has a shortest trace. */
function explore(options: ReplicaSetModelOptions): ReplicaSetExploration {
  const rules = options.rules ?? replicaSets;
  let frontier: ReadonlyArray<Readonly<{ state: ModelState; trace: readonly string[] }>> = [{ state: initialState(options), trace: [] }];
  const seen = new Set<string>();
  let promotions = 0;
  let waits = 0;
  for (let depth = 0; depth < options.depth; depth += 1) {
    const next: Array<Readonly<{ state: ModelState; trace: readonly string[] }>> = [];
    for (const { state, trace } of frontier) {
      const promoted = promotionSteps(state, rules);
      promotions += promoted.length;
      if (promoted.length === 0 && !repliesToCores(memberNamed(state, state.primary))) waits += 1;
      const lossy = promoted.find((step) => isLossy(step.state));
      if (lossy !== undefined) return { states: seen.size, promotions, waits, violation: Option.some([...trace, lossy.name]) };
      const steps = [
        ...promoted,
        ...commitSteps(state),
        ...replicationSteps(state),
        ...memberSteps(state),
        ...joinSteps(state),
        ...keeperSteps(state, rules),
        ...configurationSteps(state, options.configurable ?? []),
      ];
      for (const step of steps) {
        const key = JSON.stringify(step.state);
        if (seen.has(key)) continue;
        seen.add(key);
        next.push({ state: step.state, trace: [...trace, step.name] });
      }
    }
    frontier = next;
  }
  return { states: seen.size, promotions, waits, violation: Option.none };
}

export const replicaSetModel = { explore } as const;
