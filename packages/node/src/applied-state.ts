/** The keys that a node acts by, as a majority of cores has pushed them (design 5.2, 5.6). */
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
  /** The version of the applied configuration; 0 while there is none. */
  configurationVersion: () => number;
  /** The membership table, or the set of cores where it may change. */
  membership: () => AppliedValue<Membership>;
  electedPrimary: (service: string) => Option.Option<ElectedPrimary>;
  /** The placement as sent; a service whose members register has those of the member registry. */
  placement: () => Option.Option<PlacementConfiguration>;
  /** Takes a change that a core pushed; `link` is where its content is fetched from if it came without. */
  receive: (core: string, link: Option.Option<ContentLink>, change: Change) => void;
  /** The ballot of the newest configuration whose content is known here. */
  contentBallot: () => Ballot;
  /** Counts anew what each core pushed, after the set of cores has changed. */
  recount: () => void;
  /** Reads what is in doubt from the register. */
  resolve: () => void;
}>;

/** @param onApplied - called with the key once a new version of it is applied */
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
      includes: (core) => Option.isNone(context.coreSet) || context.cores.some((one) => one.node === core),
    },
  });
  // A core accepts nearly every configuration itself: what the others push of it needs no content (design 5.6).
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
    const sent = current.value.value.sheet;
    if (Option.isNone(registration)) return Option.some(sent);
    const { membersOf } = registration.value;
    const services = sent.services.map((service) =>
      service.registered ? { ...service, members: [...membersOf(service.service)] } : service,
    );
    return Option.some({ ...sent, services });
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
    resolve: watch.readUnapplied,
  };
}

/** @internal */
export const appliedState = { create } as const;
