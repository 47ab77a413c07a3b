/** The commands that run a process of the fleet. They are classes because oclif requires it, an exception to design 2.6. */
import fs from 'node:fs';
import { Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Runtime } from '@stallstall/kernel';
import { disk, nodeRuntime } from '@stallstall/runtime';
import { core } from '@stallstall/core';
import { agent } from '@stallstall/agent';
import { proxy } from '@stallstall/proxy';
import { agentSettings, coreSettings, proxySettings, settings, type SettingsFileWatcher } from './settings.js';

const commonFlags = {
  settings: Flags.string({ description: 'a JSON settings file; flags override its values' }),
};
const nodeFlags = {
  ...commonFlags,
  node: Flags.string({ description: 'the id of this node; it must stay the same across restarts' }),
  area: Flags.string({ description: 'the area (zone) of this machine' }),
  address: Flags.string({ description: 'the address at which other nodes reach this one' }),
  outward: Flags.string({ description: 'the address at which members and operators reach this node over HTTP' }),
  seeds: Flags.string({ description: 'the addresses of three other nodes, separated by commas' }),
  platform: Flags.string({ description: 'the address of the platform' }),
};

/** Triggers a reload of the settings file on SIGHUP and when the file changes. */
const settingsFileWatcher: SettingsFileWatcher = {
  watch: function watch(file, onChange) {
    process.on('SIGHUP', onChange);
    fs.watchFile(file, { interval: 1_000 }, onChange);
  },
};

function settingsFromFlags(flags: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  const { settings: _file, json: _json, seeds, ...rest } = flags;
  return { ...rest, ...(typeof seeds === 'string' ? { seeds: seeds.split(',') } : {}) };
}

function drainOnSignal(runtime: Runtime, drain: () => Promise<void>): void {
  let stopping = false;
  async function drainAndExit(): Promise<void> {
    if (stopping) return;
    stopping = true;
    runtime.log('process.ends', {});
    await drain();
    process.exit(0);
  }
  process.on('SIGTERM', () => void drainAndExit());
  process.on('SIGINT', () => void drainAndExit());
}

function valueOrExit<Value>(command: Command, result: Either.Either<Fault, Value>): Value {
  if (Either.isLeft(result)) return command.error(result.left.message, { exit: 2 });
  return result.right;
}

export class RunCore extends Command {
  static override description =
    'Run a core: it stores the register on its disk, pushes the configuration to the edges and serves the administration API.';
  static override flags = {
    ...nodeFlags,
    data: Flags.string({ description: 'the folder in which the core stores its data' }),
    cores: Flags.integer({ description: 'the number of cores that form the fleet' }),
    operatorKey: Flags.string({
      description: 'the root key of the administration API; prefer the settings file, since flags show in the process list',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunCore);
    const initial = valueOrExit(this, settings.read(coreSettings, flags.settings, settingsFromFlags(flags)));
    const runtime = await nodeRuntime.create(
      'core',
      Option.some(valueOrExit(this, await disk.openWhenWorking(initial.data, (reason) => this.warn(reason.message)))),
    );
    const current = settings.follow(
      runtime,
      settingsFileWatcher,
      { schema: coreSettings, file: flags.settings, flags: settingsFromFlags(flags) },
      initial,
    );
    const started = valueOrExit(
      this,
      await core.start(runtime, { ...initial, seeds: () => current().seeds, platform: () => current().platform }),
    );
    drainOnSignal(runtime, started.drain);
    runtime.log('process.runs', { node: initial.node, address: initial.address, outward: initial.outward });
  }
}

export class RunAgent extends Command {
  static override description = 'Run the agent of an edge: it holds the links to the cores, sends heartbeats and votes in elections.';
  static override flags = {
    ...nodeFlags,
    feed: Flags.string({ description: 'the loopback address from which its proxy gets the configuration' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunAgent);
    const initial = valueOrExit(this, settings.read(agentSettings, flags.settings, settingsFromFlags(flags)));
    const runtime = await nodeRuntime.create('agent', Option.none);
    const current = settings.follow(
      runtime,
      settingsFileWatcher,
      { schema: agentSettings, file: flags.settings, flags: settingsFromFlags(flags) },
      initial,
    );
    const started = valueOrExit(
      this,
      await agent.start(runtime, { ...initial, seeds: () => current().seeds, platform: () => current().platform }),
    );
    drainOnSignal(runtime, started.drain);
    runtime.log('process.runs', { node: initial.node, address: initial.address, outward: initial.outward });
  }
}

export class RunProxy extends Command {
  static override description = 'Run the proxy of an edge: it serves the clients and gets its configuration from the agent.';
  static override flags = {
    ...commonFlags,
    address: Flags.string({ description: 'the address at which clients reach the proxy over HTTP' }),
    feed: Flags.string({ description: 'the loopback address at which its agent serves the configuration' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunProxy);
    const initial = valueOrExit(this, settings.read(proxySettings, flags.settings, settingsFromFlags(flags)));
    const runtime = await nodeRuntime.create('proxy', Option.none);
    settings.follow(
      runtime,
      settingsFileWatcher,
      { schema: proxySettings, file: flags.settings, flags: settingsFromFlags(flags) },
      initial,
    );
    const started = await proxy.start(runtime, initial);
    drainOnSignal(runtime, started.drain);
    runtime.log('process.runs', { address: initial.address });
  }
}
