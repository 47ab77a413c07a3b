// A core's votes in elections, each on its disk before it is counted (design 7.3).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { owner, type Disk } from '@stallstall/kernel';
import type { Vote, VoteStore } from '@stallstall/elect';

/** A vote for nobody: all it does is deny that epoch and those before it. */
export const abstained = { candidate: '', proposer: '' } as const;

/** A vote store that tells the highest epoch voted for in each service. */
export type CoreVotes = VoteStore & Readonly<{ epochs: () => Promise<Readonly<Record<string, number>>> }>;

/** Restores the votes that `stored` holds under `vote/`. */
export function coreVotes(disk: Disk, stored: ReadonlyMap<string, unknown>): CoreVotes {
  const votes = owner.create('votes', new Map<string, Vote>());
  for (const [key, value] of stored) if (key.startsWith('vote/')) void votes.ask((table) => void table.set(key.slice(5), value as Vote));
  return {
    epochs: () => votes.ask((table) => Object.fromEntries([...table].map(([service, vote]) => [service, vote.epoch]))),
    load: (service) => votes.ask((table) => Either.right(Option.fromNullable(table.get(service)))),
    record: (service, vote) =>
      votes.ask(async function record(table) {
        if ((table.get(service)?.epoch ?? 0) >= vote.epoch) return false;
        const kept = await disk.put(`vote/${service}`, vote);
        if (Either.isLeft(kept)) return false;
        table.set(service, vote);
        return true;
      }),
  };
}
