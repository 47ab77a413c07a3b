/**
 * An operator sends a configuration in which a route names an unknown service. The rule: nothing invalid is acknowledged or in force. The
 * route has the host of another route and a longer prefix; the same configuration with a known service is valid.
 *
 * TROUBLE=0: the route names a known service.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { awaitServing, configure, openSession } from '../stand-ins-2/client.mjs';
import { send } from '../stand-ins-2/database.mjs';
import { configurationOf, isTroubled, keys, runCase, sleep } from '../stand-ins-2/case.mjs';

async function readGeneration(cores) {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const { status, text } = await send(cores[attempt % cores.length], 'GET', '/api/config/read');
    if (status === 200) return JSON.parse(text).Generation;
    await sleep(200);
  }
  return 0;
}

/** The answer to a read with a key on a session of its own. */
async function answerTo(front, key) {
  const session = await openSession(front, 'mapa', key);
  if (!session.isOpen) return session.code;
  const reply = await session.query('READ bay1');
  session.destroy();
  return reply.isDone ? 'DONE' : reply.code;
}

await runCase({
  folder: path.dirname(fileURLToPath(import.meta.url)),
  play: async function play({ record, fleet }) {
    const valid = configurationOf(7);
    if ((await configure(fleet.cores, valid, { record })) !== 200) throw new Error('the configuration was not acknowledged');
    const { front } = fleet.edges[0];
    if (!(await awaitServing(front, 'reservas', keys[0], 'WRITE warm up'))) throw new Error('nothing was served');
    record(`answers to the two keys under version 7: ${await answerTo(front, keys[0])}, ${await answerTo(front, keys[1])}`);

    // The usual refusal, for comparison: an unknown service in a route with a host of its own.
    const plain = configurationOf(8);
    plain.Channels.push({ ...plain.Channels[1], Label: 'r-plain', Hostname: 'otra', Plant: 'base-comun-9' });
    const plainStatus = await configure(fleet.cores, plain, { record });
    record(`version 8, with an unknown service in a route with a host of its own: ${plainStatus}`);

    const next = configurationOf(9);
    next.Channels.push({
      ...next.Channels[1],
      Label: 'r-mapa-2',
      PathPrefix: '/carretera',
      Plant: isTroubled ? 'base-comun-9' : 'base-comun-1',
    });
    // Like any other version it also takes a key away, which shows at the clients whether it is in force.
    next.Accounts = next.Accounts.slice(0, 1);
    const status = await configure(fleet.cores, next, { record });
    await sleep(4_000);
    const generation = await readGeneration(fleet.cores);
    const answers = [await answerTo(front, keys[0]), await answerTo(front, keys[1])];
    record(`version 9 is answered ${status}; the version read back is ${generation}; answers to the two keys: ${answers.join(', ')}`);
    if (!isTroubled) return status === 200 && generation === 9 ? '' : 'CONFIG: a valid configuration is not in force';
    if (status !== 200 && generation === 7) return '';
    return `CONFIG: a configuration whose route names an unknown service is answered ${status}, and version ${generation} is read back`;
  },
});
