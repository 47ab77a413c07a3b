/**
 * Rehearsals with real processes: a deployment's load, failures by signal, the same checkers, ratios within one run (design 10.5).
 * `rehearse.js red-comun|brightpath load|kills|stop|turn|freeze [seconds] [base port]`
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers, type HttpReply, type Runtime } from '@stallstall/kernel';
import { nodeRuntime } from '@stallstall/runtime';
import { checks, type Violation } from '@stallstall/simulator';
import { brightpath, redComun, client, type Deployment, type Ledger } from '@stallstall/fakes';
import { realFleet, type RealFleet } from './real-fleet.js';

const [name = 'red-comun', mode = 'load', secondsText = '20', baseText = '17000'] = process.argv.slice(2);
const deployment: Deployment = name === 'brightpath' ? brightpath : redComun;
const seconds = Number(secondsText);

async function get(runtime: Runtime, address: string, page: string): Promise<HttpReply> {
  const reply = await http.exchangeOnce(runtime, identifiers.address(address), { method: 'GET', path: page }, 5_000);
  return Either.isRight(reply) ? reply.right : { status: 0, body: null };
}

async function waitFor(runtime: Runtime, what: string, condition: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < 300; attempt += 1) {
    if (await condition()) return;
    await runtime.clock.sleep(100);
  }
  throw new Error(`${what} did not come about within 30 s`);
}

/** Where statements spend their time, as the proxies counted it: milliseconds for each statement served. */
async function showWaits(runtime: Runtime, fleet: RealFleet): Promise<void> {
  const totals: Record<string, number> = {};
  for (const proxy of fleet.proxies) {
    const reported = ((await get(runtime, proxy, '/v1/state')).body as { totals: Record<string, number> } | null)?.totals ?? {};
    for (const [name, count] of Object.entries(reported)) totals[name] = (totals[name] ?? 0) + count;
  }
  function each(name: string, of: string): string {
    return ((totals[name] ?? 0) / Math.max(1, totals[of] ?? 0)).toFixed(1);
  }
  console.log(
    `mean ms of a statement: in the line ${each('waitMilliseconds', 'exchanges')}, at the member ${each('exchangeMilliseconds', 'exchanges')}, for its note ${each('notingMilliseconds', 'served')}; of a note ${each('noteMilliseconds', 'notes')}, notes ${totals['notes']}, served ${totals['served']}`,
  );
}

async function leaders(runtime: Runtime, fleet: RealFleet): Promise<ReadonlyMap<string, string>> {
  for (const core of fleet.cores) {
    const reply = await get(runtime, core, '/v1/elections');
    if (reply.status !== 200) continue;
    const services = (reply.body as { rows: ReadonlyArray<{ service: string; primary: string }> }).rows;
    return new Map(services.filter((one) => one.primary !== '').map((one) => [one.service, one.primary]));
  }
  return new Map();
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function spread(values: readonly number[]): string {
  return `n=${values.length} p50=${percentile(values, 0.5).toFixed(1)} p99=${percentile(values, 0.99).toFixed(1)} max=${percentile(values, 1).toFixed(1)}`;
}

/** The same single-statement writes and reads, at the same rate, straight at the members that lead. */
async function direct(runtime: Runtime, fleet: RealFleet, run: () => boolean): Promise<readonly number[]> {
  const taken: number[] = [];
  const led = await leaders(runtime, fleet);
  const places = deployment.services.map((service) => fleet.members.find((one) => one.member === led.get(service))?.address ?? '');
  const tasks = 60;
  const period = (tasks / deployment.requestsPerSecond) * 1_000;
  async function task(index: number): Promise<void> {
    const connection = runtime.network.connect(identifiers.address(places[index % places.length] as string));
    await runtime.clock.sleep(runtime.randomness.fraction() * period);
    for (let number = 0; run(); number += 1) {
      const startedAt = runtime.clock.now();
      const write = runtime.randomness.fraction() < 0.6;
      const reply = await connection.exchange(
        {
          method: 'POST',
          path: '/run',
          body: {
            readOnly: !write,
            transaction: 'none',
            reset: true,
            values: {},
            shapes: {},
            statements: [
              write
                ? { text: 'put', parameters: [`direct/${index}/${number}`, number] }
                : { text: 'get', parameters: [`direct/${index}/0`] },
            ],
          },
        },
        5_000,
      );
      if (Either.isRight(reply) && reply.right.status === 200) taken.push(runtime.clock.now() - startedAt);
      await runtime.clock.sleep(Math.max(1, period - (runtime.clock.now() - startedAt)));
    }
    connection.close();
  }
  await Promise.all(Array.from({ length: tasks }, (_, index) => task(index)));
  return taken;
}

type Windows = Readonly<{ from: number; until: number; wallOffset: number }>;

async function outcome(
  runtime: Runtime,
  fleet: RealFleet,
  ledger: Ledger,
  sends: readonly SentSheet[],
  windows: Windows,
): Promise<readonly string[]> {
  const led = await leaders(runtime, fleet);
  const logs = new Map<string, ReadonlyMap<string, number>>();
  for (const [service, member] of led) {
    const control = fleet.members.find((one) => one.member === member)?.control ?? '';
    const reply = await get(runtime, control, '/names');
    logs.set(service, new Map(Object.entries((reply.body as { times: Record<string, number> }).times)));
  }
  const peaks: string[] = [];
  let crossings = 0;
  for (const member of fleet.members) {
    const reported = (await get(runtime, member.control, '/peak')).body as { peak: number; limit: number; crossings: number } | null;
    if (reported === null) continue;
    crossings += reported.crossings;
    peaks.push(`${member.member}=${reported.peak}/${reported.limit}`);
    if (reported.peak > reported.limit) peaks.push('OVER');
  }
  const record = (await get(runtime, fleet.platform, '/v1/record')).body as { promotions: never[]; usage: never[] };
  const violations: Violation[] = [
    ...checks.writes(ledger, logs),
    ...checks.reads(ledger),
    ...checks.sessions(ledger, crossings),
    ...checks.promotions(record),
    ...checks.usage(
      record,
      ledger.usageByWindow,
      windows.from,
      windows.until,
      checks.uncertain(ledger.exchanges, (moment) => moment + windows.wallOffset),
    ),
  ];
  for (const sent of sends) {
    for (const core of fleet.cores) {
      const reply = await get(runtime, core, `/v1/sheet?version=${sent.version}`);
      const keys = (reply.body as { sheet?: { keys: ReadonlyArray<{ key: string }> } } | null)?.sheet?.keys;
      if (reply.status !== 200 || keys?.at(-1)?.key !== sent.mark)
        violations.push({ check: 'configuration-missing', detail: `version ${sent.version} read back through ${core} as ${reply.status}` });
    }
  }
  console.log(`sheets sent=${sends.length} usage windows held=${Math.max(0, windows.until - windows.from + 1)}`);
  console.log(`peaks of connections: ${peaks.join(' ')}`);
  console.log(`promotions=${record.promotions.length} usage-windows=${record.usage.length}`);
  return violations.map((violation) => `${violation.check}: ${violation.detail}`);
}

function served(ledger: Ledger): number {
  return ledger.reasons.get('served') ?? 0;
}

/** How long after a signal the statements of a service are written again: from the ledger, by the sender's own clock. */
function gapAfter(ledger: Ledger, service: string, at: number): number {
  const later = ledger.writes
    .filter((write) => write.service === service && write.fate === 'kept' && write.startedAt > at)
    .map((write) => write.endedAt);
  return later.length === 0 ? Number.POSITIVE_INFINITY : Math.min(...later) - at;
}

async function kills(runtime: Runtime, fleet: RealFleet, ledger: Ledger): Promise<void> {
  const service = deployment.services[0] as string;
  async function step(title: string, act: () => void, pause: number, back: () => void): Promise<void> {
    const before = served(ledger);
    const at = runtime.clock.now();
    act();
    await runtime.clock.sleep(pause);
    back();
    await runtime.clock.sleep(4_000);
    const rate = (served(ledger) - before) / ((runtime.clock.now() - at) / 1_000);
    console.log(
      `${title}: first write of ${service} kept ${(gapAfter(ledger, service, at) / 1_000).toFixed(2)} s after, ${rate.toFixed(0)} served a second over the step`,
    );
  }
  const primary = (await leaders(runtime, fleet)).get(service) as string;
  await step(
    `primary ${primary} killed`,
    () => fleet.signal(primary, 'SIGKILL'),
    12_000,
    () => fleet.restart(primary),
  );
  await step(
    'core-1 killed',
    () => fleet.signal('core-1', 'SIGKILL'),
    4_000,
    () => fleet.restart('core-1'),
  );
  await step(
    'agent of edge-2 killed',
    () => fleet.signal('edge-2', 'SIGKILL'),
    3_000,
    () => fleet.restart('edge-2'),
  );
  await step(
    'proxy of edge-3 killed',
    () => fleet.signal('edge-3-proxy', 'SIGKILL'),
    3_000,
    () => fleet.restart('edge-3-proxy'),
  );
  await step(
    'agent of edge-4 stopped for 6 s',
    () => fleet.signal('edge-4', 'SIGSTOP'),
    6_000,
    () => fleet.signal('edge-4', 'SIGCONT'),
  );
  await step(
    'proxy of edge-5 ended as planned',
    () => fleet.signal('edge-5-proxy', 'SIGTERM'),
    4_000,
    () => fleet.restart('edge-5-proxy'),
  );
}

type SentSheet = Readonly<{ version: number; mark: string }>;

/**
 * Sends a sheet with a mark of its own every few seconds. The mark is probed at every edge: within three seconds it is let in, and
 * the mark before it is not.
 */
async function sendAndProbe(
  runtime: Runtime,
  fleet: RealFleet,
  sends: SentSheet[],
  faults: string[],
  goesOn: () => boolean,
): Promise<void> {
  const sheet = JSON.parse(fs.readFileSync(fleet.sheetFile, 'utf8')) as { keys: unknown[] };
  for (let number = 0; goesOn(); number += 1) {
    const mark = `mark-of-${number}`;
    const body = {
      sheet: { ...sheet, keys: [...sheet.keys, { key: mark, services: [deployment.services[0]], kinds: ['leader-read'] }] },
      sentBy: 'rehearsal',
    };
    const reply = await http.exchangeOnce(
      runtime,
      identifiers.address(fleet.cores[number % 3] as string),
      { method: 'PUT', path: '/v1/sheet', body },
      8_000,
    );
    if (Either.isLeft(reply) || reply.right.status !== 200) {
      await runtime.clock.sleep(500);
      continue;
    }
    const before = sends.at(-1);
    sends.push({ version: (reply.right.body as { version: number }).version, mark });
    await runtime.clock.sleep(3_000);
    for (const proxy of fleet.proxies) {
      const now = await probe(runtime, proxy, mark);
      const old = before === undefined ? '' : await probe(runtime, proxy, before.mark);
      if (now === 'key-denied') faults.push(`configuration-unobeyed: ${mark} at ${proxy} three seconds after it was acknowledged`);
      if (old === 'served') faults.push(`never-allowed: ${before?.mark} at ${proxy} three seconds after a later sheet`);
    }
  }
}

async function probe(runtime: Runtime, proxy: string, key: string): Promise<string> {
  const reply = await http.exchangeOnce(
    runtime,
    identifiers.address(proxy),
    {
      method: 'POST',
      path: `/v1/services/${deployment.services[0]}/statements`,
      headers: { 'x-stallstall-key': key },
      body: { kind: 'leader-read', statements: [{ text: 'get any' }], horizonMilliseconds: 1_000 },
    },
    1_500,
  );
  return Either.isLeft(reply)
    ? reply.left.name
    : reply.right.status === 200
      ? 'served'
      : String((reply.right.body as { error?: unknown } | null)?.error);
}

/** Every machine in turn: cores and edges are killed one after another, each back before the next goes. */
async function inTurn(runtime: Runtime, fleet: RealFleet): Promise<void> {
  for (const core of ['core-1', 'core-2', 'core-3']) {
    fleet.signal(core, 'SIGKILL');
    await runtime.clock.sleep(1_000);
    fleet.restart(core);
    await runtime.clock.sleep(3_000);
  }
  for (let edge = 1; edge <= 6; edge += 1) {
    for (const part of [`edge-${edge}`, `edge-${edge}-proxy`]) fleet.signal(part, 'SIGKILL');
    await runtime.clock.sleep(700);
    for (const part of [`edge-${edge}`, `edge-${edge}-proxy`]) fleet.restart(part);
    await runtime.clock.sleep(2_500);
  }
}

/** SIGSTOP is silence without a closed connection: a core, an agent, a proxy and a primary, each for a while. */
async function freezes(runtime: Runtime, fleet: RealFleet): Promise<void> {
  const primary = (await leaders(runtime, fleet)).get(deployment.services[0] as string) as string;
  for (const [name, milliseconds] of [
    ['core-2', 4_000],
    ['edge-3', 4_000],
    ['edge-5-proxy', 3_000],
    [primary, 9_000],
    ['core-1', 6_000],
  ] as const) {
    fleet.signal(name, 'SIGSTOP');
    await runtime.clock.sleep(milliseconds);
    fleet.signal(name, 'SIGCONT');
    await runtime.clock.sleep(4_000);
  }
}

/** Every product process is killed at once and started again a second later. */
async function stopAll(runtime: Runtime, fleet: RealFleet, ledger: Ledger): Promise<void> {
  const names = [...fleet.running.keys()].filter((running) => /^(core|edge)-/.test(running));
  for (const running of names) fleet.signal(running, 'SIGKILL');
  await runtime.clock.sleep(1_000);
  for (const running of names) fleet.restart(running);
  const at = runtime.clock.now();
  await runtime.clock.sleep(15_000);
  const quarter = deployment.requestsPerSecond / 4;
  const second = [...ledger.bySecond]
    .filter(([moment, slot]) => moment * 1_000 > at && slot.served >= quarter)
    .map(([moment]) => moment)
    .sort((left, right) => left - right)[0];
  console.log(
    `all ${names.length} processes killed and started: a quarter of normal again ${second === undefined ? 'never' : `in the second that began ${(second - at / 1_000).toFixed(1)} s after the start`}`,
  );
  for (const service of deployment.services)
    console.log(`  first write of ${service} kept ${(gapAfter(ledger, service, at) / 1_000).toFixed(2)} s after the start`);
}

async function main(): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'stallstall-'));
  const runtime = await nodeRuntime.create('rehearsal', Option.none);
  const fleet = realFleet.create(deployment, folder, Number(baseText));
  try {
    await waitFor(
      runtime,
      'the fleet',
      async () => ((await get(runtime, fleet.cores[0] as string, '/v1/fleet')).body as { size?: number } | null)?.size === 9,
    );
    const sheet: unknown = JSON.parse(fs.readFileSync(fleet.sheetFile, 'utf8'));
    const sent = await http.exchangeOnce(
      runtime,
      identifiers.address(fleet.cores[0] as string),
      { method: 'PUT', path: '/v1/sheet', body: { sheet, sentBy: 'rehearsal' } },
      8_000,
    );
    if (Either.isLeft(sent) || sent.right.status !== 200) throw new Error('the sheet was not taken');
    await waitFor(runtime, 'leaders', async () => (await leaders(runtime, fleet)).size === deployment.services.length);
    await runtime.clock.sleep(4_000);
    const ledger = client.emptyLedger();
    const clients = client.start(
      runtime,
      {
        deployment,
        edges: () => fleet.proxies,
        key: fleet.key,
        sessions: deployment.sessions,
        requestsPerSecond: deployment.requestsPerSecond,
        deadlineMilliseconds: 3_000,
        tag: 's',
      },
      ledger,
    );
    await runtime.clock.sleep(2_000);
    const from = runtime.clock.now();
    const sends: SentSheet[] = [];
    const probed: string[] = [];
    let sending = true;
    const operating = sendAndProbe(runtime, fleet, sends, probed, () => sending);
    const before = served(ledger);
    if (mode === 'kills') await kills(runtime, fleet, ledger);
    else if (mode === 'stop') await stopAll(runtime, fleet, ledger);
    else if (mode === 'turn') await inTurn(runtime, fleet);
    else if (mode === 'freeze') await freezes(runtime, fleet);
    else await runtime.clock.sleep(seconds * 1_000);
    const rate = (served(ledger) - before) / ((runtime.clock.now() - from) / 1_000);
    sending = false;
    await operating;
    const stoppedAt = runtime.clock.wall();
    clients.stop();
    await runtime.clock.sleep(2_000);
    const pooled = ledger.exchanges
      .filter((one) => one.reason === 'served' && one.startedAt >= from && one.path.endsWith('/statements'))
      .map((one) => one.endedAt - one.startedAt);
    await showWaits(runtime, fleet);
    console.log(`${deployment.name} ${mode}: ${rate.toFixed(0)} served a second; through the pooler in ms: ${spread(pooled)}`);
    console.log(`outcomes: ${[...ledger.reasons].map(([reason, count]) => `${reason}=${count}`).join(' ')}`);
    if (mode === 'load') {
      let going = true;
      setTimeout(() => {
        going = false;
      }, seconds * 1_000);
      const straight = await direct(runtime, fleet, () => going);
      console.log(
        `straight at the members in ms: ${spread(straight)}; ratio of p50 ${(percentile(pooled, 0.5) / percentile(straight, 0.5)).toFixed(2)}, of p99 ${(percentile(pooled, 0.99) / percentile(straight, 0.99)).toFixed(2)}`,
      );
    }
    // Windows arrive up to ten seconds after they end.
    await runtime.clock.sleep(Math.max(0, stoppedAt + 11_000 - runtime.clock.wall()));
    const wallOffset = runtime.clock.wall() - runtime.clock.now();
    const windows = { from: Math.floor((from + wallOffset) / 5_000) + 1, until: Math.floor(stoppedAt / 5_000) - 1, wallOffset };
    const violations = [...probed, ...(await outcome(runtime, fleet, ledger, sends, windows))];
    console.log(
      violations.length === 0 ? 'checkers: clean' : `checkers: ${violations.length} violations\n  ${violations.slice(0, 8).join('\n  ')}`,
    );
    if (violations.length > 0) process.exitCode = 1;
  } finally {
    await fleet.stop();
    if (process.exitCode === undefined) fs.rmSync(folder, { recursive: true, force: true });
  }
}

await main();
process.exit();
