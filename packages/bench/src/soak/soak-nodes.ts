/** The product processes of a soak: cores and edges, their ports, settings and seeds. */
import path from 'node:path';
import { areas } from '@stallstall/fakes';
import { productProcess, type ProductProcess } from './product-process.js';
import type { ProcessSettings } from './soak-messages.js';

export type SoakEdge = {
  readonly name: string;
  readonly area: string;
  /** The first of its ports: feed, readiness, clients. */
  readonly base: number;
  readonly agent: ProductProcess;
  readonly proxy: ProductProcess;
  /** Grows with every start. */
  life: number;
};

/** `base` is the first of its ports: peers, administration, platform API. */
export type SoakCore = Readonly<{ name: string; area: string; base: number; process: ProductProcess }>;

/** Told as the run goes on. */
export type SoakEvents = Readonly<{
  onApplied: (edge: string, order: number) => void;
  onUnexpectedEnd: (detail: string) => void;
}>;

export type SoakNodeParts = Readonly<{ folder: string; basePort: number; edges: number; platformAddress: string; events: SoakEvents }>;

export type SoakNodes = Readonly<{
  edges: readonly SoakEdge[];
  cores: SoakCore[];
  startEdge: (edge: SoakEdge) => Promise<void>;
  startCore: (core: SoakCore, founds?: boolean) => Promise<void>;
  addCore: (area: string) => SoakCore;
  /** Writes the seeds as they are now to the settings of everyone. */
  writeSeeds: () => void;
  processes: () => readonly ProductProcess[];
}>;

const portsOfNode = 4;
const seedsMost = 3;

export function loopback(port: number): string {
  return `127.0.0.1:${port}`;
}

function create({ folder, basePort, edges: edgeCount, platformAddress, events }: SoakNodeParts): SoakNodes {
  const cores: SoakCore[] = [];
  let nodesEver = 0;
  let coresEver = 0;

  function nextBase(): number {
    nodesEver += 1;
    return basePort + nodesEver * portsOfNode;
  }

  function processNamed(name: string, onApplied: (order: number) => void = () => undefined): ProductProcess {
    return productProcess.create(name, folder, { onApplied, onUnexpectedEnd: events.onUnexpectedEnd });
  }

  function addCore(area: string): SoakCore {
    coresEver += 1;
    const name = `core-${coresEver}`;
    const core: SoakCore = { name, area, base: nextBase(), process: processNamed(name) };
    cores.push(core);
    return core;
  }

  function newEdge(index: number): SoakEdge {
    const name = `edge-${index + 1}`;
    return {
      name,
      area: areas[index % areas.length] as string,
      base: nextBase(),
      agent: processNamed(`${name}-agent`),
      proxy: processNamed(`${name}-proxy`, (order) => events.onApplied(name, order)),
      life: 0,
    };
  }

  for (const area of areas) addCore(area);
  const founders = cores.map((core) => loopback(core.base));
  const edges = Array.from({ length: edgeCount }, (_, index) => newEdge(index));

  function seeds(): readonly string[] {
    return cores.map((core) => loopback(core.base)).slice(-seedsMost);
  }

  function coreSettings({ name, area, base }: SoakCore, founds: boolean): ProcessSettings {
    return {
      role: 'core',
      node: name,
      area,
      address: loopback(base),
      outward: loopback(base + 1),
      platformApiAddress: loopback(base + 2),
      seeds: seeds(),
      founders,
      founds,
      platform: platformAddress,
      data: path.join(folder, `${name}-data`),
    };
  }

  function agentSettings({ name, area, base }: SoakEdge): ProcessSettings {
    return { role: 'agent', node: name, area, feed: loopback(base), seeds: seeds() };
  }

  function proxySettings({ name, base }: SoakEdge): ProcessSettings {
    return { role: 'proxy', node: name, feed: loopback(base), outward: loopback(base + 1), address: loopback(base + 2) };
  }

  return {
    edges,
    cores,
    startEdge: async function startEdge(edge) {
      edge.life += 1;
      await Promise.all([edge.agent.start(agentSettings(edge)), edge.proxy.start(proxySettings(edge))]);
    },
    startCore: (core, founds = false) => core.process.start(coreSettings(core, founds)),
    addCore,
    writeSeeds: function writeSeeds() {
      for (const core of cores) core.process.writeSettings(coreSettings(core, false));
      for (const edge of edges) edge.agent.writeSettings(agentSettings(edge));
    },
    processes: () => [...cores.map((core) => core.process), ...edges.flatMap((edge) => [edge.agent, edge.proxy])],
  };
}

export const soakNodes = { create } as const;
