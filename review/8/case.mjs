/**
 * An operator takes a key away from a connected client, which is in a transaction. The rule: machines in touch don't run a request that is
 * sent later than `ConfigSettleMs` after the acknowledgement with a key that was dropped.
 *
 * TROUBLE=0: the new version keeps the key.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { awaitServing, configure, openSession } from '../stand-ins-2/client.mjs';
import { configurationOf, isTroubled, keys, runCase, sleep } from '../stand-ins-2/case.mjs';

const settleMilliseconds = 3_000;
/** The pause between the statements of the transaction; `TxRestMs` is 3,000. */
const pauseMilliseconds = 1_200;
/** Without `COMMIT`; a transaction has 12 statements at most. */
const statements = 11;
const runs = new Map();

await runCase({
  folder: path.dirname(fileURLToPath(import.meta.url)),
  onRun: (run) => runs.set(run.identifier, run),
  play: async function play({ record, fleet, database }) {
    if ((await configure(fleet.cores, configurationOf(7), { record })) !== 200) throw new Error('the configuration was not acknowledged');
    const { front } = fleet.edges[0];
    if (!(await awaitServing(front, 'reservas', keys[0], 'WRITE warm up'))) throw new Error('nothing was served');
    await sleep(5_000);
    const session = await openSession(front, 'reservas', keys[1]);
    if (!session.isOpen) throw new Error(`the session was refused: ${session.code}`);
    const replies = [];
    async function ask(text) {
      const reply = await session.query(text);
      replies.push({ ...reply, text });
      return reply;
    }
    await ask('BEGIN');
    await ask('WRITE bay1 v0');

    const next = configurationOf(9);
    if (isTroubled) next.Accounts = next.Accounts.slice(0, 1);
    if ((await configure(fleet.cores, next, { record })) !== 200) throw new Error('the configuration was not acknowledged');
    const acknowledgedAt = Date.now();
    for (let number = 1; number < statements && !session.isClosed && session.state === 'T'; number += 1) {
      await sleep(pauseMilliseconds);
      await ask(number % 2 === 0 ? `WRITE bay1 v${number}` : `READ bay${number}`);
    }
    if (!session.isClosed && session.state === 'T') await ask('COMMIT');
    session.destroy();
    const other = await openSession(front, 'reservas', keys[1]);
    record(`a new session with the key: ${other.isOpen ? 'accepted' : other.code}`);
    other.destroy();
    let late = 0;
    for (const { text, identifier, sentAt, isDone, code } of replies) {
      const run = runs.get(identifier);
      const afterAcknowledgement = sentAt - acknowledgedAt;
      record(
        `${text}: sent ${afterAcknowledgement} ms after the acknowledgement, answered ${isDone ? 'DONE' : code}` +
          `${run === undefined ? '' : `, run by ${run.member} for tenant ${run.tenant}`}`,
      );
      if (run !== undefined && afterAcknowledgement > settleMilliseconds) late += 1;
    }
    const isKept = database.primary().log.some((entry) => entry.writes.some((write) => write.thing === 'bay1'));
    record(`the transaction's writes are ${isKept ? '' : 'not '}in the log of the primary`);
    if (!isTroubled) return replies.every((reply) => reply.isDone) ? '' : 'a statement of a transaction with a valid key failed';
    return late > 0
      ? `CONFIG: ${late} statements that were sent over ConfigSettleMs after the acknowledgement were run with the key that it dropped`
      : '';
  },
});
