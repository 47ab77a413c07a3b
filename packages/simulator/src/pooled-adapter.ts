/** What an adapter of the users' platform is to the pooled mode, in plain words: pages of a core, calls to the platform, STATE of members. */
import * as Either from 'fp-ts/lib/Either.js';
import type { PlatformApi } from '@stallstall/core';
import type { MemberProbe, PlatformCalls } from '@stallstall/election';
import { http, type HttpRoute, type HttpReply, type Runtime } from '@stallstall/kernel';
import type { Registration } from '@stallstall/member-registry';
import { plainDialect } from '@stallstall/fakes';
import { memberProber } from '@stallstall/session-protocol';
import { ownTenant } from './pooled-model.js';

/** A member must be heard by whoever takes its beats before it counts; a platformApi that cannot be of use turns it away. */
const away: HttpReply = { status: 503, body: {} };

/** The stand-ins' pages of a core's platformApi. */
function pages(platformApi: PlatformApi): readonly HttpRoute[] {
  return [
    {
      method: 'POST',
      path: '/members/:member/beat',
      handle: async function beat(request) {
        const reported = request.body as Omit<Registration, 'member'>;
        return (await platformApi.heartbeat({ ...reported, member: request.query['member'] ?? '' })) ? { status: 200, body: {} } : away;
      },
    },
    {
      method: 'POST',
      path: '/members/:member/leave',
      handle: async (request) => ((await platformApi.leave(request.query['member'] ?? '')) ? { status: 200, body: {} } : away),
    },
    {
      method: 'POST',
      path: '/configuration',
      handle: async function configure(request) {
        const { version, sheet } = request.body as Readonly<{ version: number; sheet: unknown }>;
        const taken = await platformApi.configure({ version, source: JSON.stringify({ version, sheet }) }, sheet);
        return Either.isLeft(taken) ? http.faultReply(taken.left) : { status: 200, body: {} };
      },
    },
    {
      method: 'GET',
      path: '/configuration',
      handle: async function read() {
        const source = await platformApi.readSource();
        return Either.isLeft(source) ? http.faultReply(source.left) : { status: 200, body: JSON.parse(source.right) as unknown };
      },
    },
  ];
}

const calls: PlatformCalls = {
  handoverDelayMilliseconds: 3_000,
  promotion: ({ service, member, fencingToken: turn, holder }) => ({
    retrySafety: 'deduplicated',
    method: 'POST',
    path: '/duties/promotion',
    headers: { holder, turn: String(turn) },
    body: { service, member },
  }),
  usage: ({ window, counts, fencingToken: turn, holder }) => ({
    retrySafety: 'deduplicated',
    method: 'POST',
    path: '/duties/usage',
    headers: { holder, turn: String(turn) },
    body: { window, counts },
  }),
};

function memberProbe(runtime: Runtime): MemberProbe {
  const probes = memberProber.create(runtime, plainDialect, ownTenant);
  return {
    ensureConnection: probes.ensureConnection,
    readState: async function ask(service, member, address, milliseconds) {
      const standing = await probes.readStatus(service, member, address, milliseconds);
      if (Either.isLeft(standing)) return standing;
      const { role, term, received } = standing.right;
      return Either.right({ member, role, epoch: received.term, received: received.number, applied: received.number, term });
    },
  };
}

export const pooledAdapter = { pages, calls, memberProbe } as const;
