/**
 * A new version of the configuration adds a tenant whose name has a letter outside Latin-1. The rule: a member runs a request only under the
 * tenant that holds the client's key.
 *
 * TROUBLE=0: the added tenant's name has ASCII letters only.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { awaitServing, configure, openSession } from '../stand-ins-2/client.mjs';
import { configurationOf, isTroubled, keys, runCase, sleep } from '../stand-ins-2/case.mjs';

const addedKey = 'q9p2m4hz7wkc1xv8t3bn';
const former = 'ana';
/** U+0161, the letter of the field `Label` that is no Latin-1 letter. */
const added = isTroubled ? '\u0161na' : 'sna';
const runs = new Map();

function accounts(extra) {
  return [{ Label: former, Credentials: [keys[0]], Rank: 1 }, { Label: 'kaka771', Credentials: [keys[1]], Rank: 1 }, ...extra];
}

/** Runs one statement on a session of its own; returns its run at the member. */
async function runWith(front, key, text) {
  const session = await openSession(front, 'reservas', key);
  if (!session.isOpen) throw new Error(`the session was refused: ${session.code}`);
  const reply = await session.query(text);
  session.destroy();
  const run = runs.get(reply.identifier);
  if (run === undefined) throw new Error(`the statement was not run: ${reply.code}`);
  return run;
}

await runCase({
  folder: path.dirname(fileURLToPath(import.meta.url)),
  onRun: (run) => runs.set(run.identifier, run),
  play: async function play({ record, fleet }) {
    const first = configurationOf(7, { Accounts: accounts([]) });
    if ((await configure(fleet.cores, first, { record })) !== 200) throw new Error('the configuration was not acknowledged');
    const { front } = fleet.edges[0];
    if (!(await awaitServing(front, 'reservas', keys[0], 'WRITE warm up'))) throw new Error('nothing was served');
    const next = configurationOf(9, { Accounts: accounts([{ Label: added, Credentials: [addedKey], Rank: 1 }]) });
    const status = await configure(fleet.cores, next, { record });
    if (status !== 200) return '';
    await sleep(4_000);
    const ofFormer = await runWith(front, keys[0], 'WRITE bay1 v1');
    const ofAdded = await runWith(front, addedKey, 'WRITE bay1 v2');
    const told = (run) => Buffer.from(run.tenant, 'latin1').toString('hex');
    record(`tenant ${former}, in bytes ${Buffer.from(former).toString('hex')}: the member was told ${told(ofFormer)}`);
    record(`tenant ${added}, in bytes ${Buffer.from(added).toString('hex')}: the member was told ${told(ofAdded)}`);
    return ofAdded.tenant === ofFormer.tenant
      ? `UNASKED: a write with the key of tenant ${added} was run as tenant ${former}, which doesn't hold that key`
      : '';
  },
});
