/**
 * Decides from the members' replies to STATE whether a candidate has every acknowledged commit of a service whose commits wait for
 * synchronous replicas (design 7.5, 7.15).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { ServicePlacement } from '@stallstall/placement';
import type { Candidate } from './candidates.js';
import type { ElectionServices } from './election-services.js';
import { replicaSetKey, replicaSets, type Electorate } from './replica-set.js';

const registerTimeoutMilliseconds = 1_500;

/** The members to ask; none while no majority of cores replies. Where operators list the members, the durable watermark decides instead. */
async function readElectorate({ context, register }: ElectionServices, service: ServicePlacement): Promise<Option.Option<Electorate>> {
  if (Option.isNone(context.platformCalls)) return Option.some({ members: service.members, synchronousReplicas: 0 });
  const read = await register.read(replicaSetKey(service.service), registerTimeoutMilliseconds);
  if (Either.isLeft(read)) return Option.none;
  return Option.some(replicaSets.electorate(replicaSets.parse(read.right), service));
}

function namesOf(replies: readonly Candidate[]): readonly string[] {
  return replies.map(({ placement }) => placement.member);
}

/** The members that did not reply although an acknowledged commit may be on them alone; empty if every such commit is on a member that did. */
function awaitedMembers(electorate: Electorate, replies: readonly Candidate[]): readonly string[] {
  const replied = namesOf(replies);
  return replicaSets.coversAllCommits(electorate, replied) ? [] : replicaSets.missing(electorate, replied);
}

/**
 * Whether enough members have replied, and no reply shows a longer log than the candidate's: then it has every acknowledged commit. Always
 * true where commits wait for no replica.
 */
function hasLongestLog(electorate: Electorate, replies: readonly Candidate[], candidate: Candidate | undefined): boolean {
  if (electorate.synchronousReplicas === 0) return true;
  return (
    candidate !== undefined &&
    awaitedMembers(electorate, replies).length === 0 &&
    replies.every(({ state }) => replicaSets.compareLogs(candidate.state, state) >= 0)
  );
}

export const commitCoverage = { readElectorate, awaitedMembers, hasLongestLog } as const;
