/** Votes of an edge, which has no disk: they are stored in the register, on a majority of cores before ACCEPT is sent (design 7.2). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { Type } from '@sinclair/typebox';
import type { Vote, VoteStore } from '@stallstall/election';
import { message, type Entry } from '@stallstall/message';
import type { Register } from '@stallstall/register';

const VoteSchema = Type.Object({ epoch: Type.Integer({ minimum: 0 }), candidate: Type.String(), proposer: Type.String() });

const loadTimeoutMilliseconds = 1_500;
const recordTimeoutMilliseconds = 2_000;

function voteOf(entry: Option.Option<Entry>): Option.Option<Vote> {
  return Option.isSome(entry) && message.matches(VoteSchema, entry.value.value) ? Option.some(entry.value.value) : Option.none;
}

function isSameVote(left: Vote, right: Vote): boolean {
  return left.epoch === right.epoch && left.candidate === right.candidate && left.proposer === right.proposer;
}

/** @param self - this node's id */
function create(register: Register, self: string): VoteStore {
  function keyOf(service: string): string {
    return `vote/${service}/${self}`;
  }

  return {
    load: async (service) => Either.map(voteOf)(await register.read(keyOf(service), loadTimeoutMilliseconds)),
    record: async function record(service, vote) {
      const written = await register.change(
        keyOf(service),
        function next(current) {
          const recorded = voteOf(current);
          return Option.isSome(recorded) && recorded.value.epoch >= vote.epoch ? Option.none : Option.some(vote);
        },
        recordTimeoutMilliseconds,
      );
      if (Either.isLeft(written) || Option.isNone(written.right.entry)) return false;
      return isSameVote(written.right.entry.value.value as Vote, vote);
    },
  };
}

/** @internal */
export const edgeVotes = { create } as const;
