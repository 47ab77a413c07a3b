/** Measures overload: `load.js` prints rates and latencies, in virtual time, of served and denied statements (design 8.8). */
import { brightpath, redComun, type Deployment } from '@stallstall/fakes';
import { fleet as fleets, type ClientOptions } from './fleet.js';

const warmUpMilliseconds = 6_000;
const measuredMilliseconds = 10_000;

function percentile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  return (sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0).toFixed(0);
}

async function measure(deployment: Deployment, title: string, clientOptions: ClientOptions): Promise<string> {
  const fleet = fleets.create(5, deployment, { runMilliseconds: 30 });
  await fleet.startAll();
  await fleet.runUntil(() => fleet.cores.every((slot) => slot.running?.node.membership().value.seats.length === 9), 20_000);
  await fleet.sendOperatorRequest('PUT', '/v1/sheet', { sheet: fleet.defaultConfiguration() });
  await fleet.runUntil(() => deployment.services.every((service) => fleet.primaryOf(service) !== undefined), 20_000);
  await fleet.world.run(4_000);
  const clients = fleet.startClients(clientOptions);
  await fleet.world.run(warmUpMilliseconds);
  const from = fleet.world.now();
  await fleet.world.run(measuredMilliseconds);
  clients.stop();
  const statements = fleet.ledger.exchanges.filter((one) => one.startedAt >= from && one.path.endsWith('/statements'));
  const served = statements.filter((one) => one.reason === 'served').map((one) => one.endedAt - one.startedAt);
  const rejected = statements.filter((one) => one.reason !== 'served');
  const reasons = [...new Set(rejected.map((one) => one.reason))]
    .map((reason) => `${reason}=${rejected.filter((one) => one.reason === reason).length}`)
    .join(' ');
  const peak = Math.max(...fleet.members.map((slot) => slot.running?.peakConnections() ?? 0));
  return (
    `${deployment.name} ${title}: served ${(served.length / (measuredMilliseconds / 1_000)).toFixed(0)}/s p50=${percentile(served, 0.5)} p99=${percentile(served, 0.99)} ms; denied ${(rejected.length / (measuredMilliseconds / 1_000)).toFixed(0)}/s ` +
    `p50=${percentile(
      rejected.map((one) => one.endedAt - one.startedAt),
      0.5,
    )} ms ${reasons}; most connections ${peak} of ${deployment.connectionLimit}`
  );
}

for (const deployment of [redComun, brightpath]) {
  for (const [title, clientOptions] of [
    ['1x', {}],
    ['2x', { factor: 2 }],
    ['4x', { factor: 4 }],
    ['12x', { factor: 12 }],
    ['1x, 60 % at one edge', { skewedShare: 0.6 }],
    ['2x, 60 % at one edge', { factor: 2, skewedShare: 0.6 }],
  ] as const)
    console.log(await measure(deployment, title, clientOptions));
}
