/** One hollow run: real cores, agents and proxies beside hollow edges, members and senders, bounded in time, count and memory. */
import { fork, type ChildProcess } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import * as Either from 'fp-ts/lib/Either.js';
import { identifiers, type Kernel } from '@stallstall/kernel';
import { counts, type Spent } from './counts.js';
import { hollowRoles, type HollowAsk, type HollowMessage, type HollowReply, type HollowRole, type HollowSheet } from './roles.js';

export type HollowSize = Readonly<{
  cores: number;
  /** Hollow ones; `agents` real ones with a proxy each come on top. */
  edges: number;
  agents: number;
  services: number;
  sessions: number;
  statements: number;
  tenants: number;
  /** How long is counted. */
  seconds: number;
}>;

export type RoleWeight = Readonly<{ role: string; processes: number; values: Readonly<Record<string, number>> }>;
export type HollowOutcome = Readonly<{ size: HollowSize; weights: readonly RoleWeight[]; timings: Readonly<Record<string, number>> }>;

type Child = {
  readonly name: string;
  readonly process: ChildProcess;
  readonly waiting: Map<number, (reply: HollowReply) => void>;
  last: number;
};

const here = path.dirname(fileURLToPath(import.meta.url));
const areas = ['north', 'south', 'west'];
const edgesOfProcess = 150;
const mostCores = 6;
const mostEdges = 600;
const mostAgents = 40;
const mostServices = 500;
const mostSessions = 8_000;
const mostStatements = 5_000;
const mostSeconds = 30;
const mostKilobytes = 6 * 1024 * 1024;
const longestRunMilliseconds = 170_000;
const replyMilliseconds = 10_000;
const startMilliseconds = 30_000;
const beatMilliseconds = 1_200;
const memberRunMilliseconds = 2;
const lookMilliseconds = 50;
const calmMilliseconds = 2_500;
const sends = 3;
const base = 31_000;

function rejected(size: HollowSize): string {
  const bounds: ReadonlyArray<readonly [keyof HollowSize, number]> = [
    ['cores', mostCores],
    ['edges', mostEdges],
    ['agents', mostAgents],
    ['services', mostServices],
    ['sessions', mostSessions],
    ['statements', mostStatements],
    ['seconds', mostSeconds],
  ];
  const beyond = bounds.find(([field, most]) => !(size[field] >= 0 && size[field] <= most));
  return beyond === undefined ? '' : `${beyond[0]} is ${size[beyond[0]]}; a run takes at most ${beyond[1]}`;
}

/** Without `changes` it ends once it has weighed: no configurations are sent and no primary is changed. */
async function measure(kernel: Kernel, size: HollowSize, changes = true): Promise<HollowOutcome> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-hollow-'));
  const children: Child[] = [];
  const deadline = identifiers.after(kernel.clock.now(), longestRunMilliseconds);
  const timings: Record<string, number> = {};
  let over = '';

  function at(port: number): string {
    return `127.0.0.1:${base + port}`;
  }

  function end(): void {
    for (const child of children) child.process.kill('SIGKILL');
    fs.rmSync(folder, { recursive: true, force: true });
  }

  async function start(name: string, role: HollowRole): Promise<Child> {
    const started: Child = {
      name,
      process: fork(path.join(here, 'child.js'), [JSON.stringify(role)], { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] }),
      waiting: new Map(),
      last: 0,
    };
    children.push(started);
    started.process.on('exit', () => {
      over ||= `${name} ended`;
    });
    let begins = false;
    const begun = new Promise<void>((resolve) =>
      started.waiting.set(0, () => {
        begins = true;
        resolve();
      }),
    );
    started.process.on('message', (reported) => {
      const reply = reported as HollowReply;
      started.waiting.get(reply.number)?.(reply);
      started.waiting.delete(reply.number);
    });
    await Promise.race([begun, kernel.clock.sleep(startMilliseconds)]);
    if (!begins) over ||= `${name} did not start`;
    look();
    return started;
  }

  function look(): void {
    if (over !== '') throw new Error(over);
    if (kernel.clock.now() > deadline) throw new Error(`the run took over ${longestRunMilliseconds / 1_000} s`);
    const kilobytes = children.reduce((sum, child) => sum + counts.spent(child.process.pid as number).residentKilobytes, 0);
    if (kilobytes > mostKilobytes) throw new Error(`the run's processes hold ${kilobytes} kB, over ${mostKilobytes}`);
  }

  function ask(child: Child, what: HollowAsk): Promise<Readonly<Record<string, number>>> {
    child.last += 1;
    const message: HollowMessage = { number: child.last, ask: what };
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${child.name} did not reply to ${what.kind}`)), replyMilliseconds);
      child.waiting.set(message.number, (reply) => {
        clearTimeout(timer);
        resolve(reply.values);
      });
      child.process.send(message);
    });
  }

  function named(kind: string): readonly Child[] {
    return children.filter((child) => child.name.startsWith(`${kind}-`));
  }

  async function until(what: string, milliseconds: number, condition: () => Promise<boolean>): Promise<void> {
    const wanted = identifiers.after(kernel.clock.now(), milliseconds);
    while (!(await condition())) {
      look();
      if (kernel.clock.now() > wanted) throw new Error(`${what} did not come about within ${milliseconds} ms`);
      await kernel.clock.sleep(lookMilliseconds);
    }
  }

  async function total(kind: string, what: HollowAsk): Promise<Readonly<Record<string, number>>> {
    const replies = await Promise.all(named(kind).map((child) => ask(child, what)));
    const sum: Record<string, number> = {};
    for (const reply of replies) for (const [name, value] of Object.entries(reply)) sum[name] = (sum[name] ?? 0) + value;
    return sum;
  }

  /** Over all hollow edges: how many have come so far, and when the last did. */
  async function reached(what: HollowAsk): Promise<Readonly<{ of: number; all: number; last: number }>> {
    const replies = await Promise.all(named('edges').map((child) => ask(child, what)));
    return {
      of: replies.reduce((sum, one) => sum + (one['of'] ?? 0), 0),
      all: size.edges,
      last: Math.max(0, ...replies.map((one) => one['last'] ?? 0)),
    };
  }

  type Reading = Readonly<{ spent: Spent; frames: Readonly<Record<string, number>>; at: number }>;

  async function reading(child: Child): Promise<Reading> {
    return { frames: await ask(child, { kind: 'frames' }), spent: counts.spent(child.process.pid as number), at: kernel.clock.now() };
  }

  /** The mean over the processes of a role; of hollow edges, over the edges. */
  function weight(role: string, readings: ReadonlyArray<readonly [Reading, Reading]>): RoleWeight {
    const count = role === 'edges' ? size.edges : readings.length;
    function mean(of: (before: Reading, after: Reading, seconds: number) => number): number {
      return readings.reduce((sum, [before, after]) => sum + of(before, after, (after.at - before.at) / 1_000), 0) / count;
    }
    return {
      role,
      processes: count,
      values: {
        processorShare: mean(
          (before, after, seconds) => (after.spent.processorMilliseconds - before.spent.processorMilliseconds) / seconds / 10,
        ),
        framesIn: mean((before, after, seconds) => ((after.frames['received'] ?? 0) - (before.frames['received'] ?? 0)) / seconds),
        framesOut: mean((before, after, seconds) => ((after.frames['sent'] ?? 0) - (before.frames['sent'] ?? 0)) / seconds),
        exchanges: mean((before, after, seconds) => ((after.frames['exchanges'] ?? 0) - (before.frames['exchanges'] ?? 0)) / seconds),
        kilobytesIn: mean((before, after, seconds) => (after.spent.readBytes - before.spent.readBytes) / seconds / 1e3),
        kilobytesOut: mean((before, after, seconds) => (after.spent.writtenBytes - before.spent.writtenBytes) / seconds / 1e3),
        diskKilobytes: mean((before, after, seconds) => (after.spent.diskBytes - before.spent.diskBytes) / seconds / 1e3),
        megabytes: mean((_before, after) => after.spent.residentKilobytes / 1_024),
        peakMegabytes: mean((_before, after) => after.spent.peakKilobytes / 1_024),
        anonymousMegabytes: mean((_before, after) => after.spent.anonymousKilobytes / 1_024),
      },
    };
  }

  async function weigh(): Promise<readonly RoleWeight[]> {
    const before = new Map<Child, Reading>();
    for (const child of children) before.set(child, await reading(child));
    if (size.sessions > 0) await total('senders', { kind: 'served' });
    await kernel.clock.sleep(size.seconds * 1_000);
    if (size.sessions > 0) {
      for (const [name, value] of Object.entries(await total('senders', { kind: 'served' })))
        timings[`senders-${name}`] = name === 'done' || name === 'faults' || name === 'skipped' ? value / size.seconds : value;
    }
    const pairs = new Map<string, Array<readonly [Reading, Reading]>>();
    for (const child of children) {
      const role = child.name.split('-')[0] as string;
      pairs.set(role, [...(pairs.get(role) ?? []), [before.get(child) as Reading, await reading(child)]]);
    }
    return [...pairs].map(([role, readings]) => weight(role, readings));
  }

  const platformApiAddress = at(2);
  let version = 0;

  async function send(): Promise<number> {
    version += 1;
    const sheet: HollowSheet = { services: size.services, connectionLimit: 1_000, tenants: size.tenants };
    const connection = kernel.network.connect(identifiers.address(platformApiAddress));
    const body = { version, sheet: hollowRoles.sheet(sheet) };
    timings['configurationBytes'] = JSON.stringify(body.sheet).length;
    const sentAt = Date.now();
    const reply = await connection.exchange({ method: 'PUT', path: '/configuration', body }, replyMilliseconds);
    connection.close();
    if (Either.isLeft(reply) || reply.right.status !== 200)
      throw new Error(`the configuration was denied: ${JSON.stringify(Either.isLeft(reply) ? reply.left.message : reply.right)}`);
    timings['configurationTakenMs'] = Math.max(timings['configurationTakenMs'] ?? 0, Date.now() - sentAt);
    return sentAt;
  }

  /** From the sending to the last hollow edge's obeying; the slowest of some sends. */
  async function configure(): Promise<void> {
    const took: number[] = [];
    for (let count = 0; count < sends; count += 1) {
      const sentAt = await send();
      await until('the configuration', 30_000, async () => (await reached({ kind: 'obeyedAt', version })).of === size.edges);
      took.push((await reached({ kind: 'obeyedAt', version })).last - sentAt);
      await kernel.clock.sleep(500);
    }
    timings['configurationObeyedMs'] = Math.max(...took);
  }

  /** From the primary's end to the last hollow edge's lease at the next epoch. */
  async function change(kind: 'drain' | 'crash', index: number): Promise<void> {
    const service = hollowRoles.serviceName(index);
    const edges = named('edges')[0] as Child;
    const before = (await ask(edges, { kind: 'epoch', service }))['epoch'] ?? 0;
    const began = (await ask(named('members')[0] as Child, { kind, service }))['at'] ?? 0;
    let epoch = before;
    await until(`the change of primary after a ${kind}`, 40_000, async function changed() {
      epoch = (await ask(edges, { kind: 'epoch', service }))['epoch'] ?? before;
      return epoch > before && (await reached({ kind: 'leasedAt', service, epoch })).of === size.edges;
    });
    timings[`${kind}Ms`] = (await reached({ kind: 'leasedAt', service, epoch })).last - began;
  }

  async function whole(): Promise<HollowOutcome> {
    const seeds = Array.from({ length: Math.min(3, size.cores) }, (_, index) => at(index * 5));
    const founders = Array.from({ length: size.cores }, (_, index) => at(index * 5));
    const platformApiAddresses = Array.from({ length: size.cores }, (_, index) => at(index * 5 + 2));
    const platform = at(91);
    await start('members-1', {
      role: 'members',
      address: at(90),
      platform,
      platformApiAddresses,
      services: size.services,
      areas,
      beatMilliseconds,
      runMilliseconds: memberRunMilliseconds,
    });
    await Promise.all(
      Array.from({ length: size.cores }, (_, index) =>
        start(`core-${index + 1}`, {
          role: 'core',
          node: `core-${index + 1}`,
          area: areas[index % 3] as string,
          address: at(index * 5),
          outward: at(index * 5 + 1),
          platformApiAddress: at(index * 5 + 2),
          founders,
          platform,
          data: path.join(folder, `core-${index + 1}`),
        }),
      ),
    );
    await until('the fleet', 20_000, async () => ((await total('core', { kind: 'open' }))['open'] ?? 0) === size.cores);
    await send();
    const startedAt = Date.now();
    for (let first = 0; first < size.edges; first += edgesOfProcess) {
      await start(`edges-${first + 1}`, {
        role: 'edges',
        first,
        count: Math.min(edgesOfProcess, size.edges - first),
        areas,
        seeds,
        tenants: size.tenants,
      });
    }
    const proxies: string[] = [];
    for (let index = 0; index < size.agents; index += 1) {
      const [feed, address, outward] = [at(100 + index * 3), at(101 + index * 3), at(102 + index * 3)];
      await start(`agent-${index + 1}`, { role: 'agent', node: `edge-${index + 1}`, area: areas[index % 3] as string, feed, seeds });
      await start(`proxy-${index + 1}`, { role: 'proxy', address, outward, feed });
      proxies.push(address);
    }
    await until(
      'leases at every edge',
      60_000,
      async () => ((await total('edges', { kind: 'view', services: size.services }))['leased'] ?? 0) === size.edges,
    );
    timings['everyLeaseMs'] = Date.now() - startedAt;
    if (size.sessions > 0 && size.agents > 0) {
      await until(
        'ready proxies',
        20_000,
        async () => ((await total('proxy', { kind: 'view', services: size.services }))['ready'] ?? 0) === size.agents,
      );
      await start('senders-1', { role: 'senders', proxies, sessions: size.sessions, statements: size.statements, services: size.services });
    }
    await kernel.clock.sleep(calmMilliseconds);
    const weights = await weigh();
    if (!changes) return { size, weights, timings };
    await configure();
    await change('drain', 0);
    await change('crash', Math.min(1, size.services - 1));
    return { size, weights, timings };
  }

  process.once('exit', end);
  try {
    return await whole();
  } finally {
    process.removeListener('exit', end);
    await Promise.all(
      children.map(
        (child) =>
          new Promise<void>((resolve) => {
            if (child.process.exitCode !== null || child.process.signalCode !== null) resolve();
            child.process.once('exit', () => resolve());
            child.process.kill('SIGKILL');
          }),
      ),
    );
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

export const hollowRun = { measure, denied: rejected } as const;
