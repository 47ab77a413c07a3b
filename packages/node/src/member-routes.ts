/** HTTP routes that receive members' heartbeats (design 7.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { MemberStateSchema, type Liveness } from '@stallstall/election';
import { fault, http, type Fault, type HttpReply, type HttpRequest, type HttpRoute } from '@stallstall/kernel';
import { message } from '@stallstall/message';
import { placements, type PlacementConfiguration } from '@stallstall/placement';

function malformedHeartbeat(): Fault {
  return fault.create({
    kind: 'bad-request',
    message: 'a heartbeat must be {member, role, epoch, received, applied}, with the member named in the path',
    remedy: 'send these five fields',
  });
}

function unknownMember(member: string): Fault {
  return fault.create({
    kind: 'not-found',
    message: `no sheet names a member ${member}`,
    remedy: 'add it to the sheet first',
    retryAfterSeconds: 1,
  });
}

/** @param placement - the applied placement configuration */
function create(node: string, members: Liveness, placement: () => Option.Option<PlacementConfiguration>): readonly HttpRoute[] {
  async function heartbeat(request: HttpRequest): Promise<HttpReply> {
    const current = placement();
    const { body } = request;
    if (!message.matches(MemberStateSchema, body) || body.member !== request.query['member']) return http.faultReply(malformedHeartbeat());
    if (Option.isNone(current) || placements.findMember(current.value, body.member) === undefined) {
      return http.faultReply(unknownMember(body.member));
    }
    members.recordState(body);
    return { status: 200, body: { heard: true } };
  }

  return [
    { method: 'POST', path: '/v1/members/:member/beat', handle: heartbeat },
    { method: 'GET', path: '/live', handle: async () => ({ status: 200, body: { node, live: true } }) },
  ];
}

/** @internal */
export const memberRoutes = { create } as const;
