/** A core's votes in elections, each synced to its disk before it is reported (design 7.3). */
import * as Either from 'fp-ts/lib/Either.js';
import { Type } from '@sinclair/typebox';
import * as Option from 'fp-ts/lib/Option.js';
import { owner, type Disk } from '@stallstall/kernel';
import type { Vote, VoteStore } from '@stallstall/election';

/** Key prefix of votes in the data folder. */
export const voteStoragePrefix = 'vote/';
export const VoteSchema = Type.Object({ epoch: Type.Integer({ minimum: 0 }), candidate: Type.String(), proposer: Type.String() });

/** A vote for no candidate; it only prevents further votes in its epoch and earlier ones. */
export const abstention = { candidate: '', proposer: '' } as const;

/** A vote store that also returns the highest epoch voted for in each service. */
export type CoreVoteStore = VoteStore & Readonly<{ epochs: () => Promise<Readonly<Record<string, number>>> }>;

/** @param stored - what the disk held when the process started; votes are restored from it */
export function coreVoteStore(disk: Disk, stored: ReadonlyMap<string, unknown>): CoreVoteStore {
  const votes = owner.create('votes', new Map<string, Vote>());
  for (const [key, value] of stored)
    if (key.startsWith(voteStoragePrefix)) void votes.run((table) => void table.set(key.slice(voteStoragePrefix.length), value as Vote));
  return {
    epochs: () => votes.run((table) => Object.fromEntries([...table].map(([service, vote]) => [service, vote.epoch]))),
    load: (service) => votes.run((table) => Either.right(Option.fromNullable(table.get(service)))),
    record: async function record(service, vote) {
      // A vote that cannot be synced does not count. Failing at once keeps further requests from queueing behind a disk that hangs.
      if (Option.isSome(disk.syncFault())) return false;
      return votes.run(async function sync(table) {
        if ((table.get(service)?.epoch ?? 0) >= vote.epoch) return false;
        const put = await disk.put(`${voteStoragePrefix}${service}`, vote);
        if (Either.isLeft(put)) return false;
        table.set(service, vote);
        return true;
      });
    },
  };
}
