/** Opens connections ahead of need: a session that opens will want its leader, or a member nearby, before long. */
import type { DatabasePlacement } from '@stallstall/placement';
import type { Connections } from './connections.js';
import type { View } from './view.js';

function warmUp(connections: Connections, view: View, database: DatabasePlacement, tenant: string): void {
  const leader = view.members.get(view.leaders.get(database.service)?.primary ?? '');
  if (leader !== undefined) connections.warmUp({ service: leader.service, member: leader.member, address: leader.address }, tenant);
  if (database.reads === 'leader') return;
  const near = (view.membersByService.get(database.service) ?? []).find(
    (entry) => entry.area === view.area && !entry.draining && !entry.down,
  );
  if (near !== undefined) connections.warmUp({ service: near.service, member: near.member, address: near.address }, tenant);
}

export const warmUps = { warmUp } as const;
