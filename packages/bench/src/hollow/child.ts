/** One process of a hollow run: plays the role it is given, and ends with the run that started it. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { leaseAgent } from '@stallstall/agent';
import { core } from '@stallstall/core';
import type { HttpRoute, Kernel } from '@stallstall/kernel';
import type { PlatformApi } from '@stallstall/core';
import { minimalRuntime } from '@stallstall/runtime/minimal-runtime';
import { pooler } from '@stallstall/pooler';
import type { Registration } from '@stallstall/member-registry';
import { prober } from '@stallstall/session-protocol';
import { counts, type Frames } from './counts.js';
import { plainDialect } from './dialect.js';
import { hollowEdges } from './edges.js';
import { hollowMembers } from './members.js';
import type { HollowAsk, HollowMessage, HollowReply, HollowRole } from './roles.js';
import { hollowClients } from './senders.js';

type Values = Readonly<Record<string, number>>;
type Playing = Readonly<{ reply: (ask: HollowAsk) => Values }>;

const restMilliseconds = 3_300;
const graceMilliseconds = 6_000;

function pages(platformApi: PlatformApi): readonly HttpRoute[] {
  return [
    {
      method: 'POST',
      path: '/beats',
      handle: async (request) => ({ status: (await platformApi.heartbeat(request.body as Registration)) ? 200 : 503, body: {} }),
    },
    {
      method: 'PUT',
      path: '/configuration',
      handle: async function configure(request) {
        const { version, sheet } = request.body as { version: number; sheet: unknown };
        const taken = await platformApi.configure({ version, source: JSON.stringify(sheet) }, sheet);
        return Either.isRight(taken) ? { status: 200, body: taken.right } : { status: 503, body: { message: taken.left.message } };
      },
    },
  ];
}

async function playCore(kernel: (disk: Kernel['disk']) => Kernel, role: Extract<HollowRole, { role: 'core' }>): Promise<Playing> {
  const { disk } = await import('@stallstall/runtime/disk');
  const opened = await disk.open(role.data);
  if (Either.isLeft(opened)) throw opened.left;
  const own = kernel(Option.some(opened.right));
  const probes = prober.create(own, plainDialect, '-');
  const started = await core.start(
    own,
    {
      node: role.node,
      area: role.area,
      address: role.address,
      outward: role.outward,
      seeds: () => role.founders,
      platform: () => role.platform,
      cores: role.founders.length,
    },
    Option.some({
      calls: {
        handoverDelayMilliseconds: restMilliseconds,
        promotion: ({ service, member }) => ({ repeatable: 'unchanged', method: 'POST', path: '/promotions', body: { service, member } }),
        usage: ({ window, counts: told }) => ({ repeatable: 'unchanged', method: 'POST', path: '/usage', body: { window, told } }),
      },
      probe: {
        keepConnection: probes.keepConnection,
        readState: async function ask(service, member, address, milliseconds) {
          const standing = await probes.readStatus(service, member, address, milliseconds);
          if (Either.isLeft(standing)) return standing;
          const { role: memberRole, term, received } = standing.right;
          return Either.right({
            member,
            role: memberRole,
            epoch: received.term,
            received: received.number,
            applied: received.number,
            term,
          });
        },
      },
      routes: pages,
      platformApiAddress: role.platformApiAddress,
      founds: true,
      founders: role.founders,
    }),
  );
  if (Either.isLeft(started)) throw started.left;
  return { reply: (ask): Values => (ask.kind === 'open' ? { open: started.right.open() ? 1 : 0 } : {}) };
}

async function play(role: HollowRole, kernel: (disk: Kernel['disk']) => Kernel): Promise<Playing> {
  switch (role.role) {
    case 'core':
      return playCore(kernel, role);
    case 'agent':
      await leaseAgent.start(kernel(Option.none), { node: role.node, area: role.area, feed: role.feed, seeds: () => role.seeds });
      return { reply: () => ({}) };
    case 'proxy': {
      const started = await pooler.start(
        kernel(Option.none),
        { address: role.address, outward: role.outward, feed: role.feed, graceMilliseconds },
        { dialect: plainDialect, pages: () => [] },
      );
      return { reply: (): Values => ({ ready: started.ready() ? 1 : 0, version: started.view().version }) };
    }
    case 'edges':
      return hollowEdges.start(kernel(Option.none), role);
    case 'members':
      return hollowMembers.start(kernel(Option.none), role);
    case 'senders':
      return hollowClients.start(kernel(Option.none), role);
  }
}

const frames: Frames = { sent: 0, received: 0, exchanges: 0 };
process.on('disconnect', () => process.exit(0));
const playing = await play(JSON.parse(process.argv[2] ?? '') as HollowRole, (disk) =>
  counts.counted(minimalRuntime.create('hollow', disk), frames),
);

function reply(number: number, ask: HollowAsk): HollowReply {
  return { number, values: ask.kind === 'frames' ? { ...frames } : playing.reply(ask) };
}

process.on('message', (reported) => {
  const { number, ask } = reported as HollowMessage;
  process.send?.(reply(number, ask));
});
process.send?.({ number: 0, values: {} } satisfies HollowReply);
