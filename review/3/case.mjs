/**
 * CONFIG after a key was taken away. A client has a transaction open while a version without its key is acknowledged. The rule is broken if
 * statements of the transaction that are sent later than ConfigSettleMs after the acknowledgement run at a member with that key.
 */
import { createRecord } from '../stand-ins/record.mjs';
import { bounds, sleep } from '../stand-ins/deployment.mjs';
import { createWorld, tenant, runCase } from '../stand-ins/world.mjs';
import { nextId, openSession } from '../stand-ins/client.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const database = 'lepu270';
const [revokedKey] = tenant.Credentials;
const otherKey = 'j8pjbvk9m68k7b2ex5wa';
/** A transaction has at most 12 texts: BEGIN, these and COMMIT. Each rest is below TxRestMs, which is 3,000. */
const statementCount = 10;
const restMilliseconds = 1_500;
const quietMilliseconds = bounds.QuietMs + 1_000;
const record = createRecord(new URL('record.txt', import.meta.url).pathname);

async function ask(session, text, since) {
  const id = nextId();
  const sentAt = Date.now();
  const reply = await session.query(id, text);
  const answer = reply.cut ? 'cut' : reply.completion;
  record(`${text} (${id})${since === undefined ? '' : `, sent ${sentAt - since} ms after the acknowledgement`}: ${answer}`);
  return { id, isDone: answer.startsWith('DONE'), isLate: since !== undefined && sentAt - since > bounds.ConfigSettleMs };
}

/** What a session outside a transaction gets with the key: it shows whether the edge has the new version in force. */
async function askOutside(world, since) {
  const session = await openSession(world.deployment.frontAddress, database, revokedKey);
  record(`a new session with the key, ${Date.now() - since} ms after the acknowledgement: ${session.isOpen ? 'opened' : session.refusal}`);
  session.close();
}

/** A second transaction, begun before the version was sent, whose first statement is sent only after ConfigSettleMs: no member knows it yet. */
async function askLate(session, since) {
  await sleep(bounds.ConfigSettleMs + 300);
  return [await ask(session, 'WRITE seat-late held', since), await ask(session, 'COMMIT', since)];
}

async function main() {
  const world = await createWorld({
    record,
    specifications: [
      { id: 'i-m1', zone: 'zone-a', replicationMilliseconds: 8 },
      { id: 'i-m2', zone: 'zone-b', replicationMilliseconds: 8 },
      { id: 'i-m3', zone: 'zone-c', replicationMilliseconds: 8 },
    ],
    routes: [{ Hostname: database, RouteKind: 'primary', DeadlineMs: 800, SetpointMs: 200 }],
    options: { workMilliseconds: () => 11 },
  });
  let broken = [];
  try {
    await sleep(quietMilliseconds);
    const session = await openSession(world.deployment.frontAddress, database, revokedKey);
    const restingSession = await openSession(world.deployment.frontAddress, database, revokedKey);
    await ask(session, 'BEGIN');
    await ask(restingSession, 'BEGIN');
    const credentials = hasTrouble ? [otherKey] : [revokedKey, otherKey];
    const isAcknowledged = await world.configure(12, { accounts: [{ ...tenant, Credentials: credentials }] });
    if (!isAcknowledged) throw new Error('the second configuration was not acknowledged');
    const acknowledgedAt = Date.now();
    const asked = [];
    const askedLate = askLate(restingSession, acknowledgedAt);
    for (let number = 1; number <= statementCount; number += 1) {
      asked.push(await ask(session, number % 2 === 0 ? 'READ 1a4' : `WRITE seat-${number} held`, acknowledgedAt));
      if (number === 4) await askOutside(world, acknowledgedAt);
      await sleep(restMilliseconds);
    }
    asked.push(await ask(session, 'COMMIT', acknowledgedAt), ...(await askedLate));
    session.close();
    restingSession.close();
    // Without the disruption the key is still held, and nothing of this breaks the rule.
    broken = hasTrouble ? asked.filter(({ id, isDone, isLate }) => isLate && isDone && world.members.begun.has(id)) : [];
    if (!hasTrouble && !asked.every(({ isDone }) => isDone)) throw new Error('the transaction failed without the disruption');
  } finally {
    await world.stop();
  }
  record(
    `${broken.length} statements, sent over ${bounds.ConfigSettleMs} ms after the acknowledgement, ran with the key that was taken away`,
  );
  return broken.length > 0;
}

await runCase(main, record);
