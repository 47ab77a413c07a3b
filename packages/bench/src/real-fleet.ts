/** A whole fleet of real processes on this machine, for rehearsals and measurements; no product process starts another (design 10.5). */
import { spawn, type ChildProcess } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { areas, deployments, type Deployment, type MemberPlace } from '@stallstall/fakes';

export type Running = Readonly<{ name: string; child: ChildProcess; start: () => Running }>;

export type RealFleet = Readonly<{
  folder: string;
  sheetFile: string;
  cores: readonly string[];
  proxies: readonly string[];
  members: readonly MemberPlace[];
  platform: string;
  key: string;
  running: Map<string, Running>;
  /** Ends one process by its id, and starts it again by name. */
  signal: (name: string, signal: NodeJS.Signals) => void;
  restart: (name: string) => void;
  stop: () => Promise<void>;
}>;

const here = path.dirname(fileURLToPath(import.meta.url));
/** The command line that runs each daemon. */
const program = path.resolve(here, '../../cli/bin/stallstall.js');
const standIn = path.resolve(here, 'stand-in-main.js');
const clientKey = 'sender-key-0001';

function create(deployment: Deployment, folder: string, base = 17_000, edgeCount = 6): RealFleet {
  fs.mkdirSync(folder, { recursive: true });
  const running = new Map<string, Running>();
  const cores = [0, 1, 2].map((index) => ({
    node: `core-${index + 1}`,
    address: `127.0.0.1:${base + index * 10}`,
    outward: `127.0.0.1:${base + index * 10 + 1}`,
    area: areas[index] as string,
  }));
  const edges = Array.from({ length: edgeCount }, (_, index) => ({
    node: `edge-${index + 1}`,
    area: areas[index % 3] as string,
    address: `127.0.0.1:${base + 100 + index * 10}`,
    outward: `127.0.0.1:${base + 100 + index * 10 + 1}`,
    feed: `127.0.0.1:${base + 100 + index * 10 + 2}`,
    proxy: `127.0.0.1:${base + 100 + index * 10 + 3}`,
  }));
  const members: readonly MemberPlace[] = deployment.services.flatMap((service, serviceIndex) =>
    areas.map((area, index) => ({
      service,
      member: `${service}-${index + 1}`,
      area,
      address: `127.0.0.1:${base + 1_000 + serviceIndex * 30 + index * 10}`,
      control: `127.0.0.1:${base + 1_000 + serviceIndex * 30 + index * 10 + 1}`,
    })),
  );
  const platform = `127.0.0.1:${base + 1_500}`;
  const seeds = cores.map((core) => core.address);

  function launch(name: string, file: string, words: readonly string[]): Running {
    const out = fs.openSync(path.join(folder, `${name}.log`), 'a');
    const child = spawn(process.execPath, [file, ...words], { stdio: ['ignore', out, out] });
    fs.closeSync(out);
    const entry: Running = { name, child, start: () => launch(name, file, words) };
    running.set(name, entry);
    return entry;
  }

  function daemon(kind: string, name: string, settings: Readonly<Record<string, unknown>>): void {
    const file = path.join(folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    launch(name, program, ['run', kind, '--settings', file]);
  }

  launch('platform', standIn, [
    'platform',
    JSON.stringify({
      address: platform,
      members: members.map((one) => ({ service: one.service, member: one.member, control: one.control })),
    }),
  ]);
  for (const place of members) {
    launch(place.member, standIn, [
      'member',
      JSON.stringify({
        member: place.member,
        service: place.service,
        address: place.address,
        control: place.control,
        connectionLimit: deployment.connectionLimit,
        nodes: [...cores, ...edges].map((one) => one.outward),
        runMilliseconds: 4,
        replicateMilliseconds: 20,
        synchronous: 1,
      }),
    ]);
  }
  for (const core of cores) daemon('core', core.node, { ...core, seeds, platform, data: path.join(folder, `${core.node}-data`) });
  for (const edge of edges) {
    const { proxy, ...settings } = edge;
    daemon('agent', edge.node, { ...settings, seeds, platform });
    daemon('proxy', `${edge.node}-proxy`, { address: proxy, feed: edge.feed });
  }
  const sheetFile = path.join(folder, 'sheet.json');
  fs.writeFileSync(sheetFile, JSON.stringify(deployments.sheet(deployment, members, clientKey), null, 2));

  function signal(name: string, sent: NodeJS.Signals): void {
    running.get(name)?.child.kill(sent);
  }

  async function stop(): Promise<void> {
    await Promise.all(
      [...running.values()].map(
        (entry) =>
          new Promise<void>((resolve) => {
            if (entry.child.exitCode !== null || entry.child.signalCode !== null) resolve();
            entry.child.once('exit', () => resolve());
            entry.child.kill('SIGKILL');
          }),
      ),
    );
  }

  return {
    folder,
    sheetFile,
    cores: cores.map((core) => core.outward),
    proxies: edges.map((edge) => edge.proxy),
    members,
    platform,
    key: clientKey,
    running,
    signal,
    stop,
    restart: function restart(name) {
      running.get(name)?.start();
    },
  };
}

export const realFleet = { create, program } as const;
