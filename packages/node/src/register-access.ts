/** This node's access to the register and the durable reports: on its own disk, and on other cores over links (design 5.1, 5.5). */
import * as Option from 'fp-ts/lib/Option.js';
import {
  durableReports,
  durableReportsService,
  proposer,
  registerService,
  type CoreSetSource,
  type DurableReports,
  type CoreSetRegister,
  type RegisterReplica,
  type ReportReplica,
} from '@stallstall/register';
import type { NodeContext } from './node-context.js';
import type { PeerLinks } from './peer-links.js';

/** @internal */
export type RegisterAccess = Readonly<{ register: CoreSetRegister; reports: DurableReports; coreSets: CoreSetSource }>;

function remoteCores({ cores, settings }: NodeContext): readonly string[] {
  return cores.map((core) => core.node).filter((core) => core !== settings.node);
}

function registerReplicas(context: NodeContext, links: PeerLinks): readonly RegisterReplica[] {
  const { localReplica } = context.parts;
  const remote = remoteCores(context).map((core): RegisterReplica => ({
    core,
    send: async function send(kind, body, milliseconds) {
      const link = links.linkTo(core);
      return link === undefined ? Option.none : link.call(kind, body, milliseconds);
    },
  }));
  return Option.isSome(localReplica) ? [localReplica.value.registerReplica, ...remote] : remote;
}

function reportReplicas(context: NodeContext, links: PeerLinks): readonly ReportReplica[] {
  const { localReplica } = context.parts;
  const remote = remoteCores(context).map((core): ReportReplica => {
    return async function send(body, milliseconds) {
      const link = links.linkTo(core);
      return link === undefined ? Option.none : link.call('note', body, milliseconds);
    };
  });
  return Option.isSome(localReplica) ? [localReplica.value.reportReplica, ...remote] : remote;
}

/** Creates both and offers them to the other services of the process. */
function create(context: NodeContext, links: PeerLinks): RegisterAccess {
  const { runtime, settings, parts, registration } = context;
  const coreSets: CoreSetSource = {
    number: () => (Option.isSome(context.coreSet) ? context.coreSet.value.number : 0),
    observe: (set) => (Option.isSome(registration) ? registration.value.observeCoreSet(set) : undefined),
  };
  const register = proposer.create(runtime, {
    name: settings.node,
    replicas: () => registerReplicas(context, links),
    replicaCount: () => context.cores.length,
    coreSets,
    localEntry: (key) => (Option.isSome(parts.localReplica) ? parts.localReplica.value.acceptedEntry(key) : Option.none),
  });
  const reports = durableReports.create(
    () => reportReplicas(context, links),
    () => context.cores.length,
    coreSets,
  );
  runtime.services.register(registerService, register);
  runtime.services.register(durableReportsService, reports);
  return { register, reports, coreSets };
}

/** @internal */
export const registerAccess = { create } as const;
