/** What the control plane sends as the fleet grows: `scale.js [edges ...]`, counts in virtual time (design 10.6). */
import { redComun } from '@stallstall/fakes';
import { fleet as fleets, type Fleet } from './fleet.js';

const settleMilliseconds = 15_000;
const countMilliseconds = 10_000;

function totals(fleet: Fleet, prefix: string): Readonly<{ frames: number; bytes: number; processes: number }> {
  const some = [...fleet.world.sent].filter(([name]) => name.startsWith(prefix) && !name.endsWith('/proxy'));
  return {
    frames: some.reduce((sum, [, sent]) => sum + sent.frames, 0),
    bytes: some.reduce((sum, [, sent]) => sum + sent.bytes, 0),
    processes: some.length,
  };
}

async function measure(edges: number): Promise<string> {
  const fleet = fleets.create(5, redComun, { edges, weighing: true });
  await fleet.startAll();
  const began = fleet.world.now();
  await fleet.until(() => fleet.cores.every((slot) => slot.running?.node.membership().value.seats.length === edges + 3), 120_000);
  const formed = fleet.world.now() - began;
  await fleet.operate('PUT', '/v1/sheet', { sheet: fleet.sheet() });
  await fleet.world.run(settleMilliseconds);
  const before = { core: totals(fleet, 'core-'), edge: totals(fleet, 'edge-') };
  await fleet.world.run(countMilliseconds);
  const after = { core: totals(fleet, 'core-'), edge: totals(fleet, 'edge-') };
  function rate(kind: 'core' | 'edge', field: 'frames' | 'bytes'): number {
    return (after[kind][field] - before[kind][field]) / (countMilliseconds / 1_000) / after[kind].processes;
  }
  // How long a sheet takes from its sending to the last node's obeying it.
  const sentAt = fleet.world.now();
  const reply = await fleet.operate('PUT', '/v1/sheet', { sheet: fleet.sheet() });
  const acknowledged = fleet.world.now() - sentAt;
  const version = (reply.body as { version: number }).version;
  await fleet.until(() => fleet.edges.every((slot) => (slot.proxy.running?.known().version ?? 0) >= version), 10_000);
  const disk = [...(fleet.cores[0]?.disk.entries ?? [])].reduce((sum, [key, value]) => sum + key.length + value.length, 0);
  return [
    `nodes=${edges + 3}`,
    `formed=${Math.round(formed)}ms`,
    `frames/s core=${rate('core', 'frames').toFixed(0)} edge=${rate('edge', 'frames').toFixed(0)}`,
    `kB/s core=${(rate('core', 'bytes') / 1e3).toFixed(0)} edge=${(rate('edge', 'bytes') / 1e3).toFixed(0)}`,
    `sheet acknowledged=${Math.round(acknowledged)}ms obeyed-by-all-proxies=${Math.round(fleet.world.now() - sentAt)}ms`,
    `disk=${(disk / 1e3).toFixed(0)}kB`,
  ].join('  ');
}

const wanted = process.argv.slice(2).map(Number);
for (const edges of wanted.length > 0 ? wanted : [6, 15, 33]) console.log(await measure(edges));
