// The agent beside each proxy: keeps the link to the control plane and feeds its proxy over loopback (design 3.4).
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import {
  fault,
  identifiers,
  kernel as kernels,
  type Fault,
  type HttpReply,
  type HttpRoute,
  type Instant,
  type Kernel,
  type Listening,
} from '@stallstall/kernel';
import { message, type Request, type Reply, type ServiceFeed, type Target } from '@stallstall/message';
import { peer, type Handlers } from '@stallstall/peer';
import { quorum } from '@stallstall/quorum';
import type { Register } from '@stallstall/register';
import { node as nodes, type Node, type NodeSettings } from '@stallstall/node';
import { leaseMarginMilliseconds, leaseTermMilliseconds } from '@stallstall/quorum-lease';
import { livenessService, type Vote, type VoteStore } from '@stallstall/election';
import { placements, type ServicePlacement } from '@stallstall/placement';
import { Type } from '@sinclair/typebox';

export type AgentSettings = NodeSettings & Readonly<{ feed: string }>;
export type Agent = Readonly<{ node: Node; drain: () => Promise<void>; stop: () => Promise<void> }>;

const VoteSchema = Type.Object({ epoch: Type.Integer({ minimum: 0 }), candidate: Type.String(), proposer: Type.String() });

const probeEveryMilliseconds = 250;
const probeMilliseconds = 700;
const quietMilliseconds = 2_500;
const graceMilliseconds = 2_000;
const samplesKept = 40;

/** An edge has no disk: its votes live in the register, durable on a majority before any ACCEPT leaves (design 7.2). */
function edgeVotes(register: Register, self: string): VoteStore {
  function keyOf(service: string): string {
    return `vote/${service}/${self}`;
  }
  return {
    load: async function load(service) {
      const read = await register.read(keyOf(service), 1_500);
      if (Either.isLeft(read)) return read;
      const entry = read.right;
      return Either.right(
        Option.isSome(entry) && message.matches(VoteSchema, entry.value.value) ? Option.some(entry.value.value as Vote) : Option.none,
      );
    },
    record: async function record(service, vote) {
      const written = await register.change(
        keyOf(service),
        function next(current) {
          const standing = Option.isSome(current) && message.matches(VoteSchema, current.value.value) ? current.value.value.epoch : 0;
          return standing >= vote.epoch ? Option.none : Option.some(vote);
        },
        2_000,
      );
      if (Either.isLeft(written) || Option.isNone(written.right.entry)) return false;
      const kept = written.right.entry.value.value as Vote;
      return kept.epoch === vote.epoch && kept.candidate === vote.candidate && kept.proposer === vote.proposer;
    },
  };
}

type Sample = Readonly<{ at: Instant; position: number }>;

async function start(kernel: Kernel, settings: AgentSettings): Promise<Either.Either<Fault, Agent>> {
  if (settings.node === '')
    return Either.left(fault.create({ kind: 'bad-settings', message: 'the agent has no node id', remedy: 'name one with --node' }));
  const caps = new Map<string, number>();
  let proxyOpen: Readonly<Record<string, number>> = {};
  let proxyToldAt: Option.Option<Instant> = Option.none;
  let proxyAskedAt: Option.Option<Instant> = Option.none;
  let proxyMetrics: Readonly<Record<string, number>> = {};
  let layoutSince = kernel.clock.now();
  let stopped = false;

  const node: Node = nodes.create(kernel, settings, {
    role: 'edge',
    votes: (register) => edgeVotes(register, settings.node),
    localReplica: Option.none,
    connectionCaps: toldCaps,
    onApplied: function obeyed(key) {
      if (key === 'membership' || key === 'configuration') {
        layoutSince = kernel.clock.now();
        settleCaps();
      }
    },
    onHelloReply: () => undefined,
  });

  const members = kernel.services.find(livenessService);

  // -- Connection shares: shrink at once, grow only into what all others have told they left free (design 8.3).

  function toldCaps(): Readonly<Record<string, number>> {
    const told: Record<string, number> = {};
    for (const [service, cap] of caps) told[service] = Math.max(cap, proxyOpen[service] ?? 0);
    for (const [service, open] of Object.entries(proxyOpen)) told[service] = Math.max(open, told[service] ?? 0);
    return told;
  }

  function settleCaps(): void {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return;
    const table = node.membership().value;
    const edges = quorum.withRole(table, 'edge').length;
    const listed = quorum.seat(table, settings.node) !== undefined;
    const now = kernel.clock.now();
    const mayGrow = now - layoutSince >= leaseTermMilliseconds + leaseMarginMilliseconds && node.configurationLeaseUntil() > now;
    for (const service of configuration.value.value.sheet.services) {
      const share = listed ? placements.share(service.connectionLimit, table.seats.length, edges) : 0;
      // What a proxy holds already, its agent's predecessor had told the others: a restarted agent takes it over.
      const current = Math.max(caps.get(service.service) ?? 0, Math.min(share, proxyOpen[service.service] ?? 0));
      if (share <= current) caps.set(service.service, share);
      else caps.set(service.service, current);
      if (share > current && mayGrow) {
        const others = node
          .connectionCapsOfOthers()
          .reduce((sum, told) => sum + (Option.isSome(told) ? (told.value[service.service] ?? 0) : share), 0);
        caps.set(service.service, Math.max(current, Math.min(share, service.connectionLimit - table.seats.length - others)));
      }
    }
  }

  // -- STATE of every member, at its own moments: what a replica's freshness is reckoned from (design 8.4).

  const samples = new Map<string, readonly Sample[]>();

  async function probeMember(service: ServicePlacement, member: ServicePlacement['members'][number]): Promise<void> {
    const settled = node.electedPrimary(service.service);
    const state = await members.probe(member.member, member.address, probeMilliseconds);
    if (
      Either.isLeft(state) ||
      Option.isNone(settled) ||
      settled.value.primary !== member.member ||
      state.right.state.epoch !== settled.value.epoch
    )
      return;
    const key = `${service.service}|${settled.value.epoch}`;
    const kept = samples.get(key) ?? [];
    samples.set(key, [...kept, { at: state.right.sentAt, position: state.right.state.received }].slice(-samplesKept));
    for (const other of samples.keys()) if (other.startsWith(`${service.service}|`) && other !== key) samples.delete(other);
  }

  function probeAll(): void {
    const configuration = node.configuration();
    if (Option.isNone(configuration)) return;
    for (const service of configuration.value.value.sheet.services) for (const member of service.members) void probeMember(service, member);
  }

  /** The latest moment at which the primary was known to be at a position that this member has applied. */
  function freshAt(service: string, epoch: number, applied: number): Option.Option<Instant> {
    const kept = samples.get(`${service}|${epoch}`) ?? [];
    const fitting = kept.filter((sample) => sample.position <= applied).at(-1);
    return Option.map((sample: Sample) => sample.at)(Option.fromNullable(fitting));
  }

  function targetOf(service: string, epoch: number, member: string): Target {
    const state = members.state(member);
    const applied = Option.isSome(state) ? state.value.applied : 0;
    const fresh = freshAt(service, epoch, applied);
    return {
      member,
      alive: !members.isDown(member),
      freshAgo: Option.isSome(fresh) ? kernel.clock.now() - fresh.value : -1,
      applied,
      follows: Option.isSome(state) ? state.value.epoch : 0,
    };
  }

  /** What is left of a term, as JSON can carry it. */
  function within(left: number): number {
    return Math.max(0, Math.min(left, leaseTermMilliseconds));
  }

  function serviceFeed(service: ServicePlacement): ServiceFeed {
    const settled = node.electedPrimary(service.service);
    const epoch = Option.isSome(settled) ? settled.value.epoch : 0;
    const left = node.serviceLeaseUntil(service.service) - kernel.clock.now();
    return {
      service: service.service,
      epoch,
      primary: Option.isSome(settled) ? settled.value.primary : '',
      fence: within(left),
      targets: service.members.map((member) => targetOf(service.service, epoch, member.member)),
    };
  }

  function feed(ask: Request<'feed'>): Reply<'feed'> {
    proxyOpen = ask.open;
    proxyMetrics = ask.metrics;
    proxyAskedAt = Option.some(kernel.clock.now());
    settleCaps();
    const configuration = node.configuration();
    const seat = quorum.seat(node.membership().value, settings.node);
    const version = Option.isSome(configuration) ? configuration.value.version : 0;
    return {
      configuration:
        Option.isSome(configuration) && version !== ask.configuration ? { version, sheet: configuration.value.value.sheet } : null,
      configurationVersion: version,
      term: within(node.configurationLeaseUntil() - kernel.clock.now()),
      services: Option.isSome(configuration) ? configuration.value.value.sheet.services.map(serviceFeed) : [],
      shares: Object.fromEntries(caps),
      draining: seat?.draining ?? false,
      area: settings.area,
      node: settings.node,
    };
  }

  // -- Notes: what the proxy must have on a majority of core disks before it replies (design 7.5, 8.6).

  let telling = 0;

  async function tell(ask: Request<'tell'>): Promise<Reply<'tell'>> {
    proxyToldAt = Option.some(kernel.clock.now());
    telling += 1;
    const noted = await node.durableReports.report({
      floors: ask.floors,
      through: { [settings.node]: ask.through },
      reports: ask.usage.map((told) => ({
        node: settings.node,
        incarnation: ask.incarnation,
        number: ask.number,
        window: told.window,
        counts: { ...told.counts },
      })),
    });
    telling -= 1;
    return { kept: Either.isRight(noted) };
  }

  /** A proxy that has told nothing for a while serves nothing more that could still be told. */
  function tellQuiet(): void {
    const quiet = Option.isNone(proxyToldAt) || kernel.clock.now() - proxyToldAt.value > quietMilliseconds;
    if (quiet && node.cores().length > 0)
      void node.durableReports.report({ floors: {}, reports: [], through: { [settings.node]: kernel.clock.wall() - quietMilliseconds } });
  }

  // -- Pages in the shape of the cores' own (design 9.5).

  function fenced(): readonly string[] {
    const configuration = node.configuration();
    const services = Option.isSome(configuration) ? configuration.value.value.sheet.services.map((one) => one.service) : [];
    return services.filter((service) => node.serviceLeaseUntil(service) <= kernel.clock.now());
  }

  function heard(): number {
    return (
      1 +
      node.membership().value.seats.filter((seat) => {
        const at = node.lastHeartbeatAt(seat.node);
        return Option.isSome(at) && kernel.clock.now() - at.value < leaseTermMilliseconds;
      }).length
    );
  }

  async function metrics(): Promise<HttpReply> {
    const now = kernel.clock.now();
    const configuration = node.configuration();
    return {
      status: 200,
      body: {
        nodes: node.membership().value.seats.length,
        heard: heard(),
        configuration: Option.isSome(configuration) ? configuration.value.version : 0,
        membership: node.membership().version,
        controlTermMilliseconds: Math.round(within(node.configurationLeaseUntil() - now)),
        fencedServices: fenced().length,
        ...Object.fromEntries(Object.entries(proxyMetrics).map(([name, count]) => [`proxy.${name}`, count])),
      },
    };
  }

  async function soundness(): Promise<HttpReply> {
    const now = kernel.clock.now();
    const table = node.membership().value;
    const shut = fenced();
    const controlled = node.configurationLeaseUntil() > now;
    const fed = Option.isSome(proxyAskedAt) && now - proxyAskedAt.value < quietMilliseconds;
    const checks = [
      {
        check: 'control',
        sound: controlled,
        detail: controlled ? 'a majority of cores confirms this edge' : 'no majority of cores has confirmed this edge within its term',
        remedy: 'see whether this machine reaches the cores',
      },
      {
        check: 'nodes',
        sound: heard() >= quorum.majority(table.seats.length),
        detail: `${heard()} of ${table.seats.length} heard`,
        remedy: 'see whether this machine reaches the others',
      },
      {
        check: 'fence',
        sound: shut.length === 0,
        detail: shut.length === 0 ? 'open for every service' : `shut for ${shut.join(' ')}`,
        remedy: 'see stallstall elections',
      },
      {
        check: 'proxy',
        sound: fed,
        detail: fed ? 'the proxy asks' : 'the proxy does not ask',
        remedy: 'start the proxy of this edge, with the feed address of this agent',
      },
    ];
    return { status: checks.every((one) => one.sound) ? 200 : 503, body: { node: settings.node, checks } };
  }

  const pages: readonly HttpRoute[] = [
    { method: 'GET', path: '/v1/metrics', handle: metrics },
    { method: 'GET', path: '/v1/liveness', handle: soundness },
  ];

  const handlers: Handlers = { ...node.handlers };
  const listening: readonly Listening[] = [
    await peer.listen(kernel, identifiers.address(settings.address), handlers),
    await peer.listen(kernel, identifiers.address(settings.feed), { feed, tell }),
    await kernel.network.serve(identifiers.address(settings.outward), { routes: [...node.routes, ...pages] }),
  ];
  node.start();
  void kernels.every(kernel.clock, probeEveryMilliseconds, probeAll, () => !stopped);
  void kernels.every(kernel.clock, quietMilliseconds, tellQuiet, () => !stopped);

  async function stop(): Promise<void> {
    stopped = true;
    node.stop();
    for (const entry of listening) await entry.stop();
  }

  /** What is being noted is noted before this process ends (design 7.10). */
  async function drain(): Promise<void> {
    const horizon = identifiers.after(kernel.clock.now(), graceMilliseconds);
    while (kernel.clock.now() < horizon && telling > 0) await kernel.clock.sleep(5);
    await stop();
  }

  return Either.right({ node, stop, drain });
}

export const agent = { start } as const;
export * from './lease-agent.js';
