/** Records of members that register by their heartbeats (design 4.7). */
import type { MemberRecord } from '@stallstall/message';

/** The part of a record that a member reports with each heartbeat. */
export type Registration = Omit<MemberRecord, 'gone' | 'down' | 'returned'>;

/**
 * A member's record, and how many milliseconds ago a core received the member's latest heartbeat. Where the record counts as draining:
 * `drainingAgo`, the same for the latest heartbeat that reports this (`ago` if left out), and `inServiceAgo`, for the latest one that reports the
 * member as in service (left out if there was none).
 */
export type ReceivedHeartbeat = Readonly<{ entry: MemberRecord; ago: number; drainingAgo?: number; inServiceAgo?: number }>;

/** Whether two records of a member are equal apart from the heartbeat's sequence number. @internal */
export function isSameRecord(left: MemberRecord, right: MemberRecord): boolean {
  return (
    left.address === right.address &&
    left.area === right.area &&
    left.draining === right.draining &&
    left.returned === right.returned &&
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
    returned: false,
    role: 'replica',
    slots: 0,
    sequence: 0,
    gone: true,
    down: false,
  };
}
