/** Hollow edges: many in one process, each with the real lessee over links of its own, and counts of usage told each second. */
import * as Option from 'fp-ts/lib/Option.js';
import { kernel as kernels, type Kernel } from '@stallstall/kernel';
import { leaseHolder as lessees, type LeaseHolder } from '@stallstall/lease';
import type { HollowAsk, HollowRole } from './roles.js';

type EdgesRole = Extract<HollowRole, { role: 'edges' }>;
type Edge = Readonly<{ leaseHolder: LeaseHolder; obeyedAt: Map<number, number>; leasedAt: Map<string, number> }>;

export type Edges = Readonly<{ reply: (ask: HollowAsk) => Readonly<Record<string, number>> }>;

const tellMilliseconds = 1_000;
const windowMilliseconds = 5_000;
const startMilliseconds = 10;
const served = 100;

function create(kernel: Kernel, settings: EdgesRole, index: number): Edge {
  const node = `hollow-${settings.first + index + 1}`;
  const obeyedAt = new Map<number, number>();
  const leasedAt = new Map<string, number>();
  let released: Record<string, number> = {};
  let version = 0;
  const leaseHolder = lessees.create(
    kernel,
    { node, area: settings.areas[index % settings.areas.length] as string, seeds: () => settings.seeds },
    {
      released: () => released,
      positions: () => ({}),
      refusedMembers: () => [],
      commitWatermarks: () => ({}),
      positionsAgo: () => 0,
      isLeaderMissing: () => false,
      demand: () => 1,
      onChange: function changed() {
        const configuration = leaseHolder.configuration();
        if (Option.isSome(configuration) && configuration.value.version !== version) {
          version = configuration.value.version;
          obeyedAt.set(version, Date.now());
        }
        const now = kernel.clock.now();
        let lets = false;
        for (const service of leaseHolder.services()) {
          const settled = leaseHolder.electedPrimary(service);
          // Nothing is under way in a hollow edge: it lets go at once.
          if (leaseHolder.releaseEpoch(service) > (released[service] ?? 0)) {
            released = { ...released, [service]: leaseHolder.releaseEpoch(service) };
            lets = true;
          }
          if (Option.isNone(settled)) continue;
          const name = `${service}/${settled.value.epoch}`;
          if (!leasedAt.has(name) && leaseHolder.leaseUntil(service) > now) leasedAt.set(name, Date.now());
        }
        if (lets) leaseHolder.reportNow();
      },
    },
  );
  const incarnation = kernel.randomness.token();
  let number = 0;
  void kernels.every(
    kernel.clock,
    tellMilliseconds,
    async function tell() {
      if (leaseHolder.coreCount() === 0) return;
      number += 1;
      const wall = kernel.clock.wall();
      const window = Math.floor(wall / windowMilliseconds);
      const counts = Object.fromEntries(Array.from({ length: settings.tenants }, (_, tenant) => [`tenant-${tenant + 1}`, served * number]));
      await leaseHolder.durableReports.report({
        floors: {},
        through: { [node]: wall },
        reports: [window - 1, window].map((one) => ({ node, incarnation, number, window: one, counts })),
      });
    },
    () => true,
  );
  leaseHolder.start();
  return { leaseHolder: leaseHolder, obeyedAt, leasedAt };
}

async function start(kernel: Kernel, settings: EdgesRole): Promise<Edges> {
  const edges: Edge[] = [];
  for (let index = 0; index < settings.count; index += 1) {
    edges.push(create(kernel, settings, index));
    await kernel.clock.sleep(startMilliseconds);
  }

  function moments(found: ReadonlyArray<number | undefined>): Readonly<Record<string, number>> {
    const known = found.flatMap((one) => (one === undefined ? [] : [one])).sort((left, right) => left - right);
    return {
      of: known.length,
      all: edges.length,
      first: known[0] ?? 0,
      middle: known[Math.floor(known.length / 2)] ?? 0,
      last: known.at(-1) ?? 0,
    };
  }

  return {
    reply: function reply(ask) {
      const now = kernel.clock.now();
      if (ask.kind === 'view') {
        const leased = edges.filter(
          (edge) =>
            edge.leaseHolder.services().length === ask.services &&
            edge.leaseHolder.services().every((service) => edge.leaseHolder.leaseUntil(service) > now),
        );
        return { all: edges.length, leased: leased.length, roster: edges[0]?.leaseHolder.members().length ?? 0 };
      }
      if (ask.kind === 'obeyedAt') return moments(edges.map((edge) => edge.obeyedAt.get(ask.version)));
      if (ask.kind === 'leasedAt') return moments(edges.map((edge) => edge.leasedAt.get(`${ask.service}/${ask.epoch}`)));
      if (ask.kind === 'epoch') {
        const settled = edges[0]?.leaseHolder.electedPrimary(ask.service) ?? Option.none;
        return { epoch: Option.isSome(settled) ? settled.value.epoch : 0 };
      }
      return {};
    },
  };
}

export const hollowEdges = { start } as const;
