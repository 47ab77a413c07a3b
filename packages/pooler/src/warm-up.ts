/** Opens connections ahead of need: a new session will soon need the leader or, for reads, a member in this area. */
import type { DatabasePlacement } from '@stallstall/placement';
import type { Connections } from './connections.js';
import type { View } from './view.js';

function warmUp(connections: Connections, view: View, database: DatabasePlacement, tenant: string): void {
  const leader = view.members.get(view.leaders.get(database.service)?.primary ?? '');
  if (leader !== undefined) connections.warmUp({ service: leader.service, member: leader.member, address: leader.address }, tenant);
  if (database.reads === 'leader') return;
  const nearbyMember = (view.membersByService.get(database.service) ?? []).find(
    (entry) => entry.area === view.area && !entry.draining && !entry.down,
  );
  if (nearbyMember !== undefined)
    connections.warmUp({ service: nearbyMember.service, member: nearbyMember.member, address: nearbyMember.address }, tenant);
}

export const warmUps = { warmUp } as const;
