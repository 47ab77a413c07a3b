/** The checks of a core's health, each with its remedy (design 9.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { quorum } from '@stallstall/quorum';
import { usageWindowMilliseconds } from '@stallstall/register';
import type { AdministrationContext } from './administration-context.js';
import { fleetView } from './fleet-view.js';

/** `sound` is false where an operator should act. The field names are those of the administration API. @internal */
export type HealthCheck = Readonly<{ check: string; sound: boolean; detail: string; remedy: string }>;

/** Health speaks up before a core's disk is full. Unit: bytes. */
const diskBytesMost = 128 * 1024 * 1024;
/** A usage window that was not sent so long after its end is late. Unit: milliseconds. */
const usageLateMilliseconds = 10_000;

function megabytes(bytes: number): number {
  return Math.round(bytes / 1e6);
}

function checkCores(context: AdministrationContext): HealthCheck {
  const cores = context.node.cores();
  const reachable = fleetView.reachableNodes(context);
  const heard = cores.filter((core) => reachable.includes(core.node)).length;
  return {
    check: 'cores',
    sound: heard >= quorum.majority(cores.length),
    detail: `${heard} of ${cores.length} heard`,
    remedy: 'bring a core back',
  };
}

function checkNodes(context: AdministrationContext): HealthCheck {
  const total = context.node.membership().value.seats.length;
  const heard = fleetView.reachableNodes(context).length;
  const needed = quorum.majority(total);
  return {
    check: 'nodes',
    sound: heard >= needed,
    detail: `${heard} of ${total} heard, ${needed} needed`,
    remedy: 'bring nodes back',
  };
}

function checkConfiguration(context: AdministrationContext): HealthCheck {
  const table = context.node.membership().value;
  const version = fleetView.appliedVersion(context);
  const behind = [...context.parts.appliedVersions()]
    .filter(([node, applied]) => applied < version && quorum.findNode(table, node) !== undefined)
    .map(([node]) => node);
  return {
    check: 'configuration',
    sound: behind.length === 0,
    detail: behind.length === 0 ? `all obey ${version}` : `behind ${version}: ${behind.join(' ')}`,
    remedy: 'see whether these nodes reach a majority of cores',
  };
}

function checkLeaders({ node, liveness: members }: AdministrationContext): HealthCheck {
  const configuration = node.configuration();
  const services = Option.isSome(configuration) ? configuration.value.value.sheet.services.map((service) => service.service) : [];
  const leaderless = services.filter(function hasNoLeader(service) {
    const elected = node.electedPrimary(service);
    return Option.isNone(elected) || !members.isAlive(elected.value.primary);
  });
  return {
    check: 'leaders',
    sound: leaderless.length === 0,
    detail: leaderless.length === 0 ? 'each service has one' : `none alive: ${leaderless.join(' ')}`,
    remedy: 'see stallstall elections and members',
  };
}

async function checkUsage({ runtime, parts }: AdministrationContext): Promise<HealthCheck> {
  const windows = await parts.usage.windows();
  const late = (Either.isRight(windows) ? windows.right : [])
    .filter(({ window, sent }) => !sent && (window + 1) * usageWindowMilliseconds + usageLateMilliseconds < runtime.clock.wall())
    .map(({ window }) => window);
  return {
    check: 'usage',
    sound: late.length === 0,
    detail: late.length === 0 ? 'sent in time' : `late windows: ${late.join(' ')}`,
    remedy: 'see whether the platform answers',
  };
}

function checkDiskSyncs({ parts }: AdministrationContext): HealthCheck {
  const trouble = parts.diskFault();
  return {
    check: 'disk-syncs',
    sound: Option.isNone(trouble),
    detail: Option.isSome(trouble) ? trouble.value.message : 'what is put on the disk is synced',
    remedy: 'make room, or mend the disk: this core answers no ballot until then, and goes on by itself after it',
  };
}

function checkDiskSpace({ parts }: AdministrationContext): HealthCheck {
  return {
    check: 'disk',
    sound: parts.diskBytes() < diskBytesMost,
    detail: `${megabytes(parts.diskBytes())} MB of ${megabytes(diskBytesMost)} MB`,
    remedy: 'start this core with an empty folder, so that it copies the others',
  };
}

async function run(context: AdministrationContext): Promise<readonly HealthCheck[]> {
  const usage = await checkUsage(context);
  return [
    checkCores(context),
    checkNodes(context),
    checkConfiguration(context),
    checkLeaders(context),
    usage,
    checkDiskSyncs(context),
    checkDiskSpace(context),
  ];
}

/** @internal */
export const healthChecks = { run } as const;
