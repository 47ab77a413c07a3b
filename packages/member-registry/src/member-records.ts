/** Records of members that register by their heartbeats (design 4.7). */
import type { MemberRecord } from '@stallstall/message';

/** What a member says of itself with each heartbeat. */
export type Registration = Omit<MemberRecord, 'gone' | 'down'>;

/** A record as a core received it. `ago`: how long ago it was received, in milliseconds. */
export type ReceivedHeartbeat = Readonly<{ entry: MemberRecord; ago: number }>;

/** Whether two records say the same of a member; the sequence says nothing of it. @internal */
export function isSameRecord(left: MemberRecord, right: MemberRecord): boolean {
  return (
    left.address === right.address &&
    left.area === right.area &&
    left.draining === right.draining &&
    left.role === right.role &&
    left.slots === right.slots &&
    left.gone === right.gone &&
    left.down === right.down &&
    left.service === right.service
  );
}

/** The record of a member of which no heartbeat was received here: all that is known of it is that it has left. @internal */
export function unknownMember(member: string): MemberRecord {
  return {
    member,
    service: '-',
    address: '-',
    area: '-',
    draining: true,
    role: 'replica',
    slots: 0,
    sequence: 0,
    gone: true,
    down: false,
  };
}
