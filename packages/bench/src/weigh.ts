/** Memory and processor time of cores, agents and proxies as the fleet grows: `weigh.js [edges ...]`, read from /proc (design 10.5). */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers } from '@stallstall/kernel';
import { nodeRuntime } from '@stallstall/runtime';
import { redComun } from '@stallstall/fakes';
import { realFleet } from './real-fleet.js';

const countMilliseconds = 10_000;
const ticksPerSecond = 100;
const runtime = await nodeRuntime.create('weigh', Option.none);

type Weight = Readonly<{ ticks: number; kilobytes: number }>;

function weigh(identifier: number): Weight {
  const stat = fs.readFileSync(`/proc/${identifier}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const resident = /VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${identifier}/status`, 'utf8'))?.[1];
  return { ticks: Number(fields[11]) + Number(fields[12]), kilobytes: Number(resident) };
}

async function until(condition: () => Promise<boolean>, seconds: number): Promise<void> {
  for (let attempt = 0; attempt < seconds * 4; attempt += 1) {
    if (await condition()) return;
    await runtime.clock.sleep(250);
  }
  throw new Error(`it did not come about within ${seconds} s`);
}

async function measure(edges: number): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-weigh-'));
  const fleet = realFleet.create(redComun, folder, 20_000, edges);
  const core = identifiers.address(fleet.cores[0] as string);
  try {
    await until(async () => {
      const reply = await http.exchangeOnce(runtime, core, { method: 'GET', path: '/v1/fleet' }, 5_000);
      return Either.isRight(reply) && (reply.right.body as { heard?: number } | null)?.heard === edges + 3;
    }, 120);
    const sheet: unknown = JSON.parse(fs.readFileSync(fleet.sheetFile, 'utf8'));
    await http.exchangeOnce(runtime, core, { method: 'PUT', path: '/v1/sheet', body: { sheet } }, 8_000);
    await runtime.clock.sleep(10_000);
    const before = new Map([...fleet.running].map(([name, entry]) => [name, weigh(entry.child.pid as number)]));
    await runtime.clock.sleep(countMilliseconds);
    for (const [kind, pattern] of [
      ['core', /^core-\d+$/],
      ['agent', /^edge-\d+$/],
      ['proxy', /^edge-\d+-proxy$/],
    ] as const) {
      const weights = [...fleet.running]
        .filter(([name]) => pattern.test(name))
        .map(([name, entry]) => {
          const now = weigh(entry.child.pid as number);
          return {
            share: (now.ticks - (before.get(name)?.ticks ?? 0)) / ticksPerSecond / (countMilliseconds / 1_000),
            megabytes: now.kilobytes / 1_024,
          };
        });
      const shares = weights.map((one) => one.share * 100).sort((left, right) => left - right);
      const megabytes = weights.map((one) => one.megabytes).sort((left, right) => left - right);
      console.log(
        `nodes=${edges + 3} ${kind}: ${shares[0]?.toFixed(1)}-${shares.at(-1)?.toFixed(1)} % of a processor, ${megabytes[0]?.toFixed(0)}-${megabytes.at(-1)?.toFixed(0)} MB`,
      );
    }
  } finally {
    await fleet.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

const wanted = process.argv.slice(2).map(Number);
for (const edges of wanted.length > 0 ? wanted : [6, 15, 33]) await measure(edges);
process.exit();
