/**
 * LOST around a planned stop. The machine that serves the sessions gets SIGTERM. Sessions whose next query follows the last answer within
 * 50 ms are served until half a second before the end of the grace period, and are then cut together, also while their queries wait for a
 * connection. The rule is broken if a whole request gets no complete answer although it was sent over LossSlackMs before, and no member
 * was at work on it, so that none of the rule's excuses applies. Requests that were at a member are counted beside it.
 */
import { createRecord } from '../stand-ins/record.mjs';
import { bounds, sleep } from '../stand-ins/deployment.mjs';
import { createWorld, key, runCase } from '../stand-ins/world.mjs';
import { nextId, openSession } from '../stand-ins/client.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const database = 'lepu270';
const sessionCount = 40;
const pauseMilliseconds = 50;
const workMilliseconds = 55;
/** The tries' deadline at the client, and the route's timeout: neither is near when the sessions are cut. */
const deadlineMilliseconds = 5_000;
/** The newest page excuses a member that is still at work late in the grace period only for requests sent no later than this. */
const excusedUntilMilliseconds = 3_000;
/** The connections to a member that one of six edges has where members admit 56, as one small deployment sets it. */
const connectionLimit = 14;
const quietMilliseconds = bounds.QuietMs + 1_000;
const record = createRecord(new URL('record.txt', import.meta.url).pathname);
const broken = [];
let cutAtMember = 0;
let terminatedAt = Number.POSITIVE_INFINITY;
let answeredAfterTermination = 0;

function judge(world, id, sentAt) {
  const cutAt = Date.now();
  const passedOn = world.members.begun.get(id);
  record(
    `cut without an answer: ${id}, sent ${sentAt - terminatedAt} ms and cut ${cutAt - terminatedAt} ms after SIGTERM, ` +
      `${passedOn === undefined ? 'not passed on' : `begun at ${passedOn.member} ${passedOn.at - terminatedAt} ms after SIGTERM`}`,
  );
  const isAroundPlannedWork = sentAt >= terminatedAt && cutAt <= terminatedAt + (bounds.GracePeriodS + 1) * 1_000;
  if (!isAroundPlannedWork || cutAt - sentAt >= deadlineMilliseconds) return;
  if (passedOn === undefined && cutAt - sentAt > bounds.LossSlackMs) broken.push(id);
  if (passedOn !== undefined && sentAt - terminatedAt > excusedUntilMilliseconds) cutAtMember += 1;
}

/** One session, in use until the stop; it is not opened again, since new connections go to other machines. */
async function runClient(world, text, isOver) {
  const session = await openSession(world.deployment.frontAddress, database, key);
  if (!session.isOpen) throw new Error(`the session was refused: ${session.refusal}`);
  while (!isOver() && !session.isClosed()) {
    const id = nextId();
    const sentAt = Date.now();
    record(`sent ${id} to ${database}`);
    const reply = await session.query(id, text(id));
    if (reply.cut) {
      judge(world, id, sentAt);
      return;
    }
    record(`answered ${id}: ${reply.completion}`);
    if (sentAt >= terminatedAt) answeredAfterTermination += 1;
    await sleep(pauseMilliseconds * (0.5 + Math.random() / 2));
  }
  session.close();
}

async function main() {
  const world = await createWorld({
    record,
    specifications: [
      { id: 'i-m1', zone: 'zone-a', replicationMilliseconds: 8 },
      { id: 'i-m2', zone: 'zone-b', replicationMilliseconds: 8 },
      { id: 'i-m3', zone: 'zone-c', replicationMilliseconds: 8 },
    ],
    routes: [{ Hostname: database, RouteKind: 'primary', DeadlineMs: deadlineMilliseconds, SetpointMs: 800 }],
    connectionLimit,
    options: { workMilliseconds: () => workMilliseconds },
  });
  try {
    let isOver = false;
    const texts = [(id) => `WRITE seat-${id} held`, () => 'READ 1a4'];
    const clients = Array.from({ length: sessionCount }, (_, index) => runClient(world, texts[index % texts.length], () => isOver));
    await sleep(quietMilliseconds);
    if (hasTrouble) {
      terminatedAt = Date.now();
      world.deployment.signal('proxy', 'SIGTERM');
      world.deployment.signal('agent', 'SIGTERM');
    }
    await sleep((bounds.GracePeriodS + 2) * 1_000);
    isOver = true;
    await Promise.all(clients);
  } finally {
    await world.stop();
  }
  record(`${answeredAfterTermination} requests sent after SIGTERM were answered`);
  record(`${broken.length} were cut over ${bounds.LossSlackMs} ms after they were sent, with no member at work on them`);
  record(`${cutAtMember} sent over ${excusedUntilMilliseconds} ms after SIGTERM were cut while a member was at work on them`);
  return broken.length > 0;
}

await runCase(main, record);
