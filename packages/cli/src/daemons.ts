/** The commands that run a process of the fleet. oclif asks for classes; they are the forced exception of design 2.6. */
import fs from 'node:fs';
import { Command, Flags } from '@oclif/core';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Fault, Runtime } from '@stallstall/kernel';
import { disk, nodeRuntime } from '@stallstall/runtime';
import { core } from '@stallstall/core';
import { agent } from '@stallstall/agent';
import { proxy } from '@stallstall/proxy';
import { agentSettings, coreSettings, proxySettings, settings, type Changes } from './settings.js';

const shared = {
  settings: Flags.string({ description: 'a JSON settings file; flags go before it' }),
};
const nodeFlags = {
  ...shared,
  node: Flags.string({ description: 'the id of this node, kept over restarts' }),
  area: Flags.string({ description: 'the area (zone) of this machine' }),
  address: Flags.string({ description: 'where other nodes reach this one' }),
  outward: Flags.string({ description: 'where members and operators reach it over HTTP' }),
  seeds: Flags.string({ description: 'three addresses of other nodes, with commas between' }),
  platform: Flags.string({ description: 'the address of the platform' }),
};

/** What tells that a settings file is to be read again: SIGHUP, or a change of the file itself. */
const changes: Changes = {
  watch: function watch(file, again) {
    process.on('SIGHUP', again);
    fs.watchFile(file, { interval: 1_000 }, again);
  },
};

function given(flags: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  const { settings: _file, json: _json, seeds, ...rest } = flags;
  return { ...rest, ...(typeof seeds === 'string' ? { seeds: seeds.split(',') } : {}) };
}

function endWith(runtime: Runtime, stop: () => Promise<void>): void {
  let stopping = false;
  async function end(): Promise<void> {
    if (stopping) return;
    stopping = true;
    runtime.log('process.ends', {});
    await stop();
    process.exit(0);
  }
  process.on('SIGTERM', () => void end());
  process.on('SIGINT', () => void end());
}

function orFail<Value>(command: Command, result: Either.Either<Fault, Value>): Value {
  if (Either.isLeft(result)) return command.error(result.left.message, { exit: 2 });
  return result.right;
}

export class RunCore extends Command {
  static override description = 'Run a core: a disk of the register, pushes, and the administration API.';
  static override flags = {
    ...nodeFlags,
    data: Flags.string({ description: 'the data folder' }),
    cores: Flags.integer({ description: 'how many cores form the fleet' }),
    operatorKey: Flags.string({ description: 'the root key of the administration API; the file is the better place' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunCore);
    const first = orFail(this, settings.read(coreSettings, flags.settings, given(flags)));
    const runtime = await nodeRuntime.create(
      'core',
      Option.some(orFail(this, await disk.openWhenWorking(first.data, (reason) => this.warn(reason.message)))),
    );
    const current = settings.follow(runtime, changes, { schema: coreSettings, file: flags.settings, flags: given(flags) }, first);
    const started = orFail(this, await core.start(runtime, { ...first, seeds: () => current().seeds, platform: () => current().platform }));
    endWith(runtime, started.drain);
    runtime.log('process.runs', { node: first.node, address: first.address, outward: first.outward });
  }
}

export class RunAgent extends Command {
  static override description = 'Run an agent: the control link, heartbeats and votes of an edge.';
  static override flags = { ...nodeFlags, feed: Flags.string({ description: 'the loopback address its proxy is fed at' }) };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunAgent);
    const first = orFail(this, settings.read(agentSettings, flags.settings, given(flags)));
    const runtime = await nodeRuntime.create('agent', Option.none);
    const current = settings.follow(runtime, changes, { schema: agentSettings, file: flags.settings, flags: given(flags) }, first);
    const started = orFail(
      this,
      await agent.start(runtime, { ...first, seeds: () => current().seeds, platform: () => current().platform }),
    );
    endWith(runtime, started.drain);
    runtime.log('process.runs', { node: first.node, address: first.address, outward: first.outward });
  }
}

export class RunProxy extends Command {
  static override description = "Run a proxy: the clients' side of an edge, fed by its agent.";
  static override flags = {
    ...shared,
    address: Flags.string({ description: 'where clients reach it over HTTP' }),
    feed: Flags.string({ description: "its agent's feed address" }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(RunProxy);
    const first = orFail(this, settings.read(proxySettings, flags.settings, given(flags)));
    const runtime = await nodeRuntime.create('proxy', Option.none);
    settings.follow(runtime, changes, { schema: proxySettings, file: flags.settings, flags: given(flags) }, first);
    const started = await proxy.start(runtime, first);
    endWith(runtime, started.drain);
    runtime.log('process.runs', { address: first.address });
  }
}
