/** The stand-in members of a soak and the platform that promotes them; each member on a host that can be stopped. */
import type { Runtime } from '@stallstall/kernel';
import {
  areas,
  sessionMember,
  sessionPlatform,
  type SessionMember,
  type SessionMemberStore,
  type SessionPlatformStore,
  type SessionRun,
} from '@stallstall/fakes';
import { standInHost, type StandInHost } from './stand-in-host.js';

export type SoakMember = {
  readonly service: string;
  readonly member: string;
  readonly area: string;
  readonly address: string;
  readonly control: string;
  readonly store: SessionMemberStore;
  host: StandInHost | undefined;
  running: SessionMember | undefined;
  /** Has left for good. */
  gone: boolean;
};

export type SoakMembers = Readonly<{
  list: SoakMember[];
  runs: SessionRun[];
  platformStore: SessionPlatformStore;
  start: (member: SoakMember) => Promise<void>;
  stop: (member: SoakMember) => Promise<void>;
  add: (service: string, area: string) => SoakMember;
  primaryOf: (service: string) => SoakMember | undefined;
  startPlatform: () => Promise<void>;
  stopAll: () => Promise<void>;
}>;

export type SoakMemberParts = Readonly<{
  runtime: Runtime;
  services: readonly string[];
  connectionLimit: number;
  synchronousReplicas: number;
  platformAddress: string;
  /** Addresses for one more member, by its place in the list. */
  addressesOf: (place: number) => Readonly<{ address: string; control: string }>;
  /** Where cores take heartbeats. */
  platformApiAddresses: () => readonly string[];
}>;

const workMilliseconds = 8;
const openMilliseconds = 10;
const applyMilliseconds = 8;
const slots = 10;
const promoteMilliseconds = 100;
const drainMilliseconds = 7_000;

function create(parts: SoakMemberParts): SoakMembers {
  const { runtime, services, connectionLimit, synchronousReplicas, platformAddress, addressesOf, platformApiAddresses } = parts;
  const list: SoakMember[] = [];
  const runs: SessionRun[] = [];
  const platformStore = sessionPlatform.emptyStore();
  let platform: Readonly<{ stop: () => Promise<void> }> | undefined;

  function add(service: string, area: string): SoakMember {
    const number = list.filter((one) => one.service === service).length + 1;
    const store = sessionMember.emptyStore();
    const member: SoakMember = {
      service,
      member: `${service}-${number}`,
      area,
      ...addressesOf(list.length),
      store,
      host: undefined,
      running: undefined,
      gone: false,
    };
    list.push(member);
    return member;
  }

  async function start(slot: SoakMember): Promise<void> {
    if (slot.running !== undefined || slot.gone) return;
    const { service, member, area, address, control } = slot;
    slot.host = standInHost.create(runtime);
    slot.running = await sessionMember.start(
      slot.host.runtime,
      {
        service,
        member,
        area,
        address,
        control,
        doors: platformApiAddresses(),
        connectionLimit,
        slots,
        workMilliseconds,
        openMilliseconds,
        applyMilliseconds,
        synchronousReplicas,
        drainMilliseconds,
      },
      slot.store,
      (run) => void runs.push(run),
    );
  }

  async function stop(member: SoakMember): Promise<void> {
    const { host, running } = member;
    member.running = undefined;
    member.host = undefined;
    await Promise.all([running?.stop(), host?.stop()]);
  }

  async function startPlatform(): Promise<void> {
    platform = await sessionPlatform.start(
      runtime,
      {
        address: platformAddress,
        promoteMilliseconds,
        members: () =>
          list.map((member) => ({
            service: member.service,
            member: member.member,
            control: member.control,
            runs: () => !member.gone && member.running !== undefined,
            lead: (term) => member.running?.lead(term),
            follow: function follow(term, primary) {
              if (member.running === undefined) sessionMember.follow(member.store, term, primary);
              else member.running.follow(term, primary);
            },
          })),
      },
      platformStore,
    );
  }

  for (const service of services) for (const area of areas) add(service, area);
  return {
    list,
    runs,
    platformStore,
    start,
    stop,
    add,
    primaryOf: (service) => list.find((one) => one.member === platformStore.leaders.get(service)?.member),
    startPlatform,
    stopAll: async function stopAll() {
      await Promise.all(list.map(stop));
      await platform?.stop();
    },
  };
}

export const soakMembers = { create } as const;
