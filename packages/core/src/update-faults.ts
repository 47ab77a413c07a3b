/** Errors of configuration updates. */
import { fault, type Fault } from '@stallstall/kernel';

function outcomeUnknown(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: 'it is unknown whether the configuration was stored: no majority of core disks replied in time',
    remedy: 'read the current configuration, or repeat the request with the same sendId',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function sendIdExpired(sendId: string): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `it is no longer known whether the configuration sent with sendId ${sendId} was stored`,
    remedy: 'list the versions, and send it with a new sendId if it is not among them',
    retryAfterSeconds: 1,
    details: { sendId },
  });
}

function sendIdInUse(sendId: string): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `the sendId ${sendId} was already used for a different configuration`,
    remedy: 'send this configuration with a new sendId',
    details: { sendId },
  });
}

function versionConflict(version: number): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `the current version is ${version}`,
    remedy: 'read the current version, merge your change into it, and send the result',
    details: { version },
  });
}

function versionInUse(version: number): Fault {
  return fault.create({
    kind: 'version-conflict',
    message: `version ${version} was already used for a different configuration`,
    remedy: 'read the current configuration, and send this one with a higher version',
    details: { version },
  });
}

function versionExpired(version: number): Fault {
  return fault.create({
    kind: 'outcome-unknown',
    message: `version ${version} is too old: it is no longer known which configuration it was used for`,
    remedy: 'read the current configuration, and send this one with a higher version',
    details: { version },
  });
}

/** @internal */
export const updateFaults = { outcomeUnknown, sendIdExpired, sendIdInUse, versionConflict, versionInUse, versionExpired } as const;
