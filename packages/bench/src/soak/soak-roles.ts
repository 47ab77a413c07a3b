/** What a product process of a soak runs, by its settings: a core, an agent or a proxy. */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { leaseAgent } from '@stallstall/agent';
import { core } from '@stallstall/core';
import { fault, type Disk, type Runtime } from '@stallstall/kernel';
import { minimalRuntime } from '@stallstall/runtime/minimal-runtime';
import { pooler, type Pooler } from '@stallstall/pooler';
import { plainDialect } from '@stallstall/fakes';
import { pooledAdapter } from '@stallstall/simulator/pooled-adapter';
import type { DiskFault, ProcessMessage, ProcessSettings, ProcessRequest } from './soak-messages.js';

type Settings<Role extends ProcessSettings['role']> = Extract<ProcessSettings, { role: Role }>;
type Running = Readonly<{ drain: () => Promise<void> }>;

const graceMilliseconds = 6_000;
const viewLookMilliseconds = 5;
const file = process.argv[2] ?? '';
const diskFault: { current: DiskFault } = { current: 'none' };
const slowDiskMilliseconds = 75;

function readSettings(): ProcessSettings {
  return JSON.parse(fs.readFileSync(file, 'utf8')) as ProcessSettings;
}

function send(message: ProcessMessage): void {
  process.send?.(message);
}

/** A disk that is slow or takes no bytes for as long as the soak says so. */
function troubled(runtime: Runtime, disk: Disk): Disk {
  return {
    ...disk,
    put: async function put(key, value) {
      if (diskFault.current === 'slow') await runtime.clock.sleep(slowDiskMilliseconds);
      if (diskFault.current !== 'full') return disk.put(key, value);
      return Either.left(fault.create({ kind: 'disk-failed', message: 'the disk takes no bytes', remedy: 'make room' }));
    },
  };
}

async function runCore(first: Settings<'core'>): Promise<Running> {
  const { disk } = await import('@stallstall/runtime/disk');
  const opened = await disk.open(first.data);
  if (Either.isLeft(opened)) throw opened.left;
  const plain = minimalRuntime.create(first.node, Option.none);
  const runtime: Runtime = { ...plain, disk: Option.some(troubled(plain, opened.right)) };
  let { seeds } = first;
  process.on('SIGHUP', function reread() {
    ({ seeds } = readSettings() as Settings<'core'>);
    runtime.log('settings.read', {});
  });
  const { node, area, address, outward, platformApiAddress, founders, founds, platform } = first;
  const started = await core.start(
    runtime,
    { node, area, address, outward, seeds: () => seeds, platform: () => platform, cores: founders.length },
    Option.some({
      calls: pooledAdapter.calls,
      probe: pooledAdapter.memberProbe(runtime),
      routes: pooledAdapter.pages,
      platformApiAddress,
      mayFound: founds,
      founderAddresses: founders,
    }),
  );
  if (Either.isLeft(started)) throw started.left;
  return started.right;
}

async function runAgent(first: Settings<'agent'>): Promise<Running> {
  const runtime = minimalRuntime.create(first.node, Option.none);
  let { seeds } = first;
  process.on('SIGHUP', function reread() {
    ({ seeds } = readSettings() as Settings<'agent'>);
    runtime.log('settings.read', {});
  });
  const { node, area, feed } = first;
  return leaseAgent.start(runtime, { node, area, feed, seeds: () => seeds });
}

/** Tells the soak the newest order whose database the proxy knows, as often as that changes. */
function reportOrders(started: Pooler): void {
  let version = 0;
  setInterval(function look() {
    const view = started.view();
    if (view.configurationVersion === version) return;
    version = view.configurationVersion;
    const orders = [...view.databases.keys()]
      .filter((name) => name.startsWith('order-'))
      .map((name) => Number(name.slice('order-'.length)));
    if (orders.length > 0) send({ kind: 'applied', order: Math.max(...orders) });
  }, viewLookMilliseconds).unref();
}

async function runProxy({ node, address, outward, feed }: Settings<'proxy'>): Promise<Running> {
  const runtime = minimalRuntime.create(node, Option.none);
  process.on('SIGHUP', () => runtime.log('settings.kept', {}));
  const started = await pooler.start(
    runtime,
    { clientAddress: address, readinessAddress: outward, agentAddress: feed, graceMilliseconds },
    {
      dialect: plainDialect,
      readinessRoutes: (ready) => [{ method: 'GET', path: '/ready', handle: async () => ({ status: ready() ? 200 : 503, body: {} }) }],
    },
  );
  reportOrders(started);
  return started;
}

function run(settings: ProcessSettings): Promise<Running> {
  switch (settings.role) {
    case 'core':
      return runCore(settings);
    case 'agent':
      return runAgent(settings);
    case 'proxy':
      return runProxy(settings);
  }
}

function count(resources: readonly string[], name: RegExp): number {
  return resources.filter((resource) => name.test(resource)).length;
}

process.on('message', function onRequest(request: ProcessRequest) {
  if (request.kind === 'disk') diskFault.current = request.fault;
  else {
    const resources = process.getActiveResourcesInfo();
    send({
      kind: 'resources',
      heapBytes: process.memoryUsage().heapUsed,
      timers: count(resources, /Timeout/),
      sockets: count(resources, /TCPSocketWrap/),
    });
  }
});
process.on('disconnect', () => process.exit(0));
const running = await run(readSettings());
let isEnding = false;
process.on('SIGTERM', function end() {
  if (isEnding) return;
  isEnding = true;
  void running.drain().then(() => process.exit(0));
});
send({ kind: 'started' });
