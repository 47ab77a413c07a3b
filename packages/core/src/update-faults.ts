/** Why a configuration was not taken. */
import { fault, type Fault } from '@stallstall/kernel';

function outcomeUnknown(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: 'it is not known whether the sheet was taken: no majority of disks answered in time',
    remedy: 'read the sheet back, or send it again with the same sendId',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function sendForgotten(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `it is not known any more whether the sheet of send ${sendId} was taken`,
    remedy: 'read the versions, and send it under a new sendId if it is not among them',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function sendIdTaken(sendId: string): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `the sendId ${sendId} stands for another sheet already`,
    remedy: 'send this sheet under a sendId of its own',
    details: { sendId },
  });
}

function versionConflict(version: number): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `the current version is ${version}`,
    remedy: 'read it, merge, and send again',
    details: { version },
  });
}

function versionTaken(version: number): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `version ${version} stands for another configuration already`,
    remedy: 'read the newest configuration back, and send this one under a higher version',
    details: { version },
  });
}

function versionForgotten(version: number): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `version ${version} is too old: which configuration it stood for is not known any more`,
    remedy: 'read the newest configuration back, and send this one under a higher version',
    details: { version },
  });
}

/** @internal */
export const updateFaults = { outcomeUnknown, sendForgotten, sendIdTaken, versionConflict, versionTaken, versionForgotten } as const;
