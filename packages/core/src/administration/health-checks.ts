/** Health checks of a core, each with a remedy for the operator (design 9.5). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { quorum } from '@stallstall/quorum';
import { usageWindowMilliseconds } from '@stallstall/register';
import type { AdministrationContext } from './administration-context.js';
import { fleetView } from './fleet-view.js';

/** `sound` is false if an operator should act. The field names are part of the administration API. @internal */
export type HealthCheck = Readonly<{ check: string; sound: boolean; detail: string; remedy: string }>;

/** Size of a core's data from which the health check fails, so that operators can act before the disk is full. Unit: bytes. */
const diskWarningBytes = 128 * 1024 * 1024;
/** A usage window that has not been sent this long after its end counts as late. Unit: milliseconds. */
const usageLateMilliseconds = 10_000;

function megabytes(bytes: number): number {
  return Math.round(bytes / 1e6);
}

function checkCores(context: AdministrationContext): HealthCheck {
  const cores = context.node.cores();
  const reachableNodes = fleetView.reachableNodes(context);
  const reachableCores = cores.filter((core) => reachableNodes.includes(core.node)).length;
  return {
    check: 'cores',
    sound: reachableCores >= quorum.majority(cores.length),
    detail: `${reachableCores} of ${cores.length} cores reachable`,
    remedy: 'restart the cores that are down, or restore their network connections',
  };
}

function checkNodes(context: AdministrationContext): HealthCheck {
  const total = context.node.membership().value.seats.length;
  const reachable = fleetView.reachableNodes(context).length;
  const needed = quorum.majority(total);
  return {
    check: 'nodes',
    sound: reachable >= needed,
    detail: `${reachable} of ${total} nodes reachable, ${needed} needed`,
    remedy: 'restart the nodes that are down, or restore their network connections',
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
    detail: behind.length === 0 ? `all nodes have applied version ${version}` : `nodes behind version ${version}: ${behind.join(' ')}`,
    remedy: 'check whether these nodes can reach a majority of cores',
  };
}

function checkLeaders({ node, liveness }: AdministrationContext): HealthCheck {
  const configuration = node.configuration();
  const services = Option.isSome(configuration) ? configuration.value.value.sheet.services.map((service) => service.service) : [];
  const leaderless = services.filter(function hasNoLeader(service) {
    const elected = node.electedPrimary(service);
    return Option.isNone(elected) || !liveness.isAlive(elected.value.primary);
  });
  return {
    check: 'leaders',
    sound: leaderless.length === 0,
    detail: leaderless.length === 0 ? 'every service has a live leader' : `services without a live leader: ${leaderless.join(' ')}`,
    remedy: 'see stallstall elections and stallstall members',
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
    detail: late.length === 0 ? 'all windows were sent in time' : `late windows: ${late.join(' ')}`,
    remedy: 'check whether the platform replies',
  };
}

function checkDiskSyncs({ parts }: AdministrationContext): HealthCheck {
  const diskFault = parts.diskFault();
  return {
    check: 'disk-syncs',
    sound: Option.isNone(diskFault),
    detail: Option.isSome(diskFault) ? diskFault.value.message : 'writes to the disk are synced',
    remedy: 'free disk space or repair the disk; this core answers no ballots until then and resumes without a restart',
  };
}

function checkDiskSpace({ parts }: AdministrationContext): HealthCheck {
  return {
    check: 'disk',
    sound: parts.diskBytes() < diskWarningBytes,
    detail: `${megabytes(parts.diskBytes())} MB of ${megabytes(diskWarningBytes)} MB`,
    remedy: 'restart this core with an empty data folder; it copies its data from the other cores',
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
