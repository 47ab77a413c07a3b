/** Brings a whole fleet up on this machine and keeps it until interrupted (README, quick start). */
import path from 'node:path';
import { brightpath, redComun } from '@stallstall/fakes';
import { realFleet } from './real-fleet.js';

const [name = 'red-comun', folder = 'data/fleet'] = process.argv.slice(2);
const deployment = name === 'brightpath' ? brightpath : redComun;
const fleet = realFleet.create(deployment, path.resolve(folder));
console.log(`fleet of ${deployment.name}: 3 cores, 6 edges, ${fleet.members.length} members, 1 platform; logs in ${folder}`);
console.log(`export STALLSTALL_CORES=${fleet.cores.join(',')}`);
console.log(`sheet: ${path.join(folder, 'sheet.json')}   key: ${fleet.key}`);
console.log(`proxies: ${fleet.proxies.join(' ')}`);
console.log('interrupt (Ctrl-C) to stop it all');

async function end(): Promise<void> {
  await fleet.stop();
  process.exit(0);
}

process.on('SIGINT', () => void end());
process.on('SIGTERM', () => void end());
