/** Records of members that register by their heartbeats (design 4.7). */
import type { MemberRecord } from '@stallstall/message';

/** The part of a record that a member reports with each heartbeat. */
export type Registration = Omit<MemberRecord, 'gone' | 'down'>;

/** A member's record, and how many milliseconds ago a core received it from the member. */
export type ReceivedHeartbeat = Readonly<{ entry: MemberRecord; ago: number }>;

/** Whether two records of a member are equal apart from the heartbeat's sequence number. @internal */
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

/** A placeholder record for a member that has left and from which this core received no heartbeat. @internal */
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
