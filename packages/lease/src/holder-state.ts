/** The replicated keys that an edge applies once a majority of cores has pushed them (design 5.2, 5.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Ballot, Change, ElectedPrimary } from '@stallstall/message';
import { appliedValues, type AppliedValue, type Configuration } from '@stallstall/node';
import {
  contentFetcher,
  durableReports,
  proposer,
  watcher,
  type ContentFetcher,
  type ContentLink,
  type CoreSetSource,
  type DurableReports,
  type RegisterReplica,
  type ReportReplica,
  type Watcher,
} from '@stallstall/register';
import type { Peer } from '@stallstall/peer';
import { configurationLag, type LagState } from './configuration-lag.js';
import { contentSource } from './content-source.js';
import { coreNames, type HolderContext } from './holder-context.js';

/** @internal */
export type HolderState = Readonly<{
  reports: DurableReports;
  configuration: () => Option.Option<AppliedValue<Configuration>>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** The services of the applied configuration. */
  services: () => readonly string[];
  receiveChange: (core: string, link: ContentLink, change: Change) => void;
  /** The ballot of the newest configuration whose content this edge has. */
  contentBallot: () => Ballot;
  /** Whether a core is up to date with the configurations that the others push. */
  isCurrent: (core: string) => boolean;
  /** Counts the pushed versions of each key again, over the cores of the new core set (design 4.8). */
  onCoreSetChanged: () => void;
  /** Reads keys on which the cores' pushed versions differ, and logs a configuration that is not applied. */
  readUnapplied: () => void;
}>;

type LinkOf = (core: string) => Peer | undefined;

function registerReplicas({ cores }: HolderContext, linkOf: LinkOf): readonly RegisterReplica[] {
  return cores.map(({ node }): RegisterReplica => ({
    core: node,
    send: async function send(kind, body, milliseconds) {
      const link = linkOf(node);
      return link === undefined ? Option.none : link.call(kind, body, milliseconds);
    },
  }));
}

function reportReplicas({ cores }: HolderContext, linkOf: LinkOf): readonly ReportReplica[] {
  return cores.map(({ node }): ReportReplica => {
    return async function send(body, milliseconds) {
      const link = linkOf(node);
      return link === undefined ? Option.none : link.call('note', body, milliseconds);
    };
  });
}

function lagStateOf({ setNumber }: HolderContext, watch: Watcher, contents: ContentFetcher): LagState {
  const applied = watch.applied('configuration');
  return {
    appliedVersion: Option.isSome(applied) ? applied.value.version : 0,
    setNumber,
    unapplied: watch.unapplied('configuration'),
    awaited: contents.awaited(),
    counts: contents.counts(),
  };
}

/** @param observeCoreSet - called with a core set that any core reported */
function create(context: HolderContext, linkOf: LinkOf, observeCoreSet: CoreSetSource['observe']): HolderState {
  const { runtime, settings, callbacks } = context;
  const coreSets: CoreSetSource = { number: () => context.setNumber, observe: observeCoreSet };
  function coreCount(): number {
    return context.cores.length;
  }
  const register = proposer.create(runtime, {
    name: settings.node,
    replicas: () => registerReplicas(context, linkOf),
    replicaCount: coreCount,
    coreSets,
  });
  const watch = watcher.create(runtime, {
    register,
    coreCount,
    onApplied: function onApplied(key, entry) {
      runtime.log('lease-holder.applied', { key, version: entry.version });
      callbacks.onChange();
    },
    cores: { number: coreSets.number, includes: (name) => context.cores.some((core) => core.node === name) },
  });
  const contents = contentFetcher.create(runtime, {
    coreSetNumber: coreSets.number,
    deliver: watch.receive,
    stopped: () => context.isStopped,
  });

  const source = contentSource.create(runtime.clock, () => coreNames(context));
  const lag = configurationLag.create(runtime, () => lagStateOf(context, watch, contents));

  function configuration(): Option.Option<AppliedValue<Configuration>> {
    return appliedValues.configuration(watch.applied('configuration'));
  }

  return {
    reports: durableReports.create(() => reportReplicas(context, linkOf), coreCount, coreSets),
    configuration,
    electedPrimary: (service) => appliedValues.electedPrimary(watch.applied(`epoch/${service}`)),
    services: function services() {
      const current = configuration();
      return Option.isSome(current) ? current.value.value.sheet.services.map((service) => service.service) : [];
    },
    receiveChange: function receiveChange(core, link, change) {
      if (change.key === 'configuration') source.observe(core, change.entry.ballot);
      contents.receive(core, Option.some(link), change);
    },
    contentBallot: contents.latestBallot,
    isCurrent: source.isCurrent,
    onCoreSetChanged: watch.recount,
    readUnapplied: function readUnapplied() {
      watch.readUnapplied();
      lag.observe();
    },
  };
}

/** @internal */
export const holderState = { create } as const;
