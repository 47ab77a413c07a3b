/** The register keys that a node applies, once a majority of cores has pushed them (design 5.2, 5.6). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Ballot, Change, ElectedPrimary, Membership } from '@stallstall/message';
import type { PlacementConfiguration } from '@stallstall/placement';
import { contentFetcher, watcher, type ContentLink } from '@stallstall/register';
import { appliedValues } from './applied-values.js';
import type { AppliedValue, Configuration } from './configuration.js';
import type { NodeContext } from './node-context.js';
import type { RegisterAccess } from './register-access.js';

/** @internal */
export type AppliedState = Readonly<{
  configuration: () => Option.Option<AppliedValue<Configuration>>;
  /** The version of the applied configuration; 0 if none is applied. */
  configurationVersion: () => number;
  /** The membership table, or the core set in fleets whose core set may change. */
  membership: () => AppliedValue<Membership>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** The placement of the applied configuration; services with registered members list the members of the member registry. */
  placement: () => Option.Option<PlacementConfiguration>;
  /** Processes a change that a core pushed; if it lacks its content, the content is fetched over `link`. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the newest configuration whose content this node has. */
  contentBallot: () => Ballot;
  /** Counts the pushed changes again after the core set has changed. */
  recount: () => void;
  /** Reads keys from the register for which a change was pushed but not yet applied. */
  readUnapplied: () => void;
}>;

/** @param onApplied - called with the key after a new version of it is applied */
function create(context: NodeContext, { register, coreSets }: RegisterAccess, onApplied: (key: string) => void): AppliedState {
  const { runtime, registration } = context;
  const watch = watcher.create(runtime, {
    register,
    coreCount: () => context.cores.length,
    onApplied: function apply(key, entry) {
      runtime.log('node.applied', { key, version: entry.version });
      onApplied(key);
    },
    cores: {
      number: coreSets.number,
      includes: (core) => Option.isNone(context.coreSet) || context.cores.some((record) => record.node === core),
    },
  });
  // A core accepts nearly every configuration itself, so other cores push it without its content (design 5.6).
  const contents = contentFetcher.create(runtime, {
    coreSetNumber: coreSets.number,
    deliver: watch.receive,
    stopped: () => context.isStopped,
  });

  function configuration(): Option.Option<AppliedValue<Configuration>> {
    return appliedValues.configuration(watch.applied('configuration'));
  }

  function membership(): AppliedValue<Membership> {
    if (Option.isSome(context.coreSet)) return { version: context.coreSet.value.number, value: context.coreSet.value };
    return appliedValues.membership(watch.applied('membership'));
  }

  function placement(): Option.Option<PlacementConfiguration> {
    const current = configuration();
    if (Option.isNone(current)) return Option.none;
    const configured = current.value.value.sheet;
    if (Option.isNone(registration)) return Option.some(configured);
    const { membersOf } = registration.value;
    const services = configured.services.map((service) =>
      service.registered ? { ...service, members: [...membersOf(service.service)] } : service,
    );
    return Option.some({ ...configured, services });
  }

  return {
    configuration,
    configurationVersion: function configurationVersion() {
      const current = configuration();
      return Option.isSome(current) ? current.value.version : 0;
    },
    membership,
    electedPrimary: (service) => appliedValues.electedPrimary(watch.applied(`epoch/${service}`)),
    placement,
    receive: contents.receive,
    contentBallot: contents.latestBallot,
    recount: watch.recount,
    readUnapplied: watch.readUnapplied,
  };
}

/** @internal */
export const appliedState = { create } as const;
