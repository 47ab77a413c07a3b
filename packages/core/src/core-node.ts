/** Creates the node of a core, whose register has this core's own disk as one of its replicas (design 3, 5.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Reply } from '@stallstall/message';
import { node as nodes, type Node, type NodeSettings, type RegistrationSupport } from '@stallstall/node';
import type { RegisterReplica } from '@stallstall/register';
import type { CoreContext, CoreStorage } from './core-context.js';
import type { PlatformIntegration } from './core-settings.js';
import { storeReport } from './report-handling.js';

/** @internal */
export type CoreNodeEvents = Readonly<{
  /** Called when data that is sent with leases has changed. */
  notifyLeaseHolders: () => void;
  onHelloReply: (reply: Reply<'hello'>, address: string) => void;
}>;

/** This core's own disk as a replica of the register. */
function localRegisterReplica({ settings }: CoreContext, { cells }: CoreStorage): RegisterReplica {
  return {
    core: settings.node,
    local: true,
    send: async function send(call, body) {
      const reply = await cells[call](body as never);
      return Option.some(reply as never);
    },
  };
}

function registrationSupport(context: CoreContext, { calls, probe }: PlatformIntegration, events: CoreNodeEvents): RegistrationSupport {
  return {
    calls,
    probe,
    membersOf: (service) => (Option.isSome(context.registration) ? context.registration.value.membersOf(service) : []),
    leaseHolders: () => (Option.isSome(context.registration) ? context.registration.value.grantor.leaseHolders() : Option.none),
    hasReleased: (service, epoch, holders) =>
      Option.isSome(context.registration) && context.registration.value.grantor.hasReleased(service, epoch, holders),
    hasAnnouncedDeparture: (member) => Option.isSome(context.registration) && context.registration.value.hasAnnouncedDeparture(member),
    onEpochRaised: events.notifyLeaseHolders,
    observeCoreSet: (set) => (Option.isSome(context.coreSet) ? context.coreSet.value.observe(set) : undefined),
  };
}

/** Adds the recorded cores to the seeds: the fleet is found again even if the seeds no longer name any of its cores (design 4.8). */
function withRecordedCores({ settings, platform }: CoreContext, { recordStore }: CoreStorage): NodeSettings {
  if (Option.isNone(platform)) return settings;
  function seeds(): readonly string[] {
    const record = recordStore.current();
    const recordedCores = Option.isSome(record) ? record.value.cores.map((core) => core.address) : [];
    return [...new Set([...settings.seeds(), ...recordedCores])];
  }
  return { ...settings, seeds };
}

function create(context: CoreContext, storage: CoreStorage, events: CoreNodeEvents): Node {
  const { platform, runtime } = context;
  const { cells, reports, votes, coreSetView } = storage;
  return nodes.create(runtime, withRecordedCores(context, storage), {
    role: 'core',
    votes: () => votes,
    localReplica: Option.some({
      registerReplica: localRegisterReplica(context, storage),
      reportReplica: async (body) => Option.some(await storeReport(reports, coreSetView, body)),
      acceptedEntry: cells.accepted,
    }),
    connectionCaps: () => ({}),
    onApplied: events.notifyLeaseHolders,
    onHelloReply: events.onHelloReply,
    ...(Option.isNone(platform) ? {} : { registration: registrationSupport(context, platform.value, events) }),
  });
}

/** @internal */
export const coreNode = { create } as const;
