/**
 * LOST with SyncReplicas 1. A replica is replaced as planned: the new one starts, the old one says that it drains, serves on and leaves.
 * Shortly before it leaves, the primary crashes, for 7.8 seconds. The last acknowledged commits are on the primary and on the draining
 * replica. The rule is broken if a member that lacks them is promoted.
 */
import { createRecord } from '../stand-ins/record.mjs';
import { bounds, sleep } from '../stand-ins/deployment.mjs';
import { createWorld, key, runCase } from '../stand-ins/world.mjs';
import { nextId, openSession } from '../stand-ins/client.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const database = 'lepu270';
const clientCount = 24;
/** How long the draining member serves after its acknowledgement: DrainLimitMs and a little longer. */
const servesOnMilliseconds = bounds.DrainLimitMs + 800;
/** The primary crashes this long after the acknowledgement. */
const crashAfterMilliseconds = bounds.DrainLimitMs;
const downMilliseconds = 7_800;
const observedMilliseconds = 25_000;
const record = createRecord(new URL('record.txt', import.meta.url).pathname);
const startedAt = Date.now();

/** Commits that were acknowledged to a client: id and when. */
const acknowledged = new Map();
let lostCommits = [];

function idsIn(member) {
  return new Set(member.log.flatMap((entry) => entry.writes.map((write) => write.id)));
}

function onPromoted(member) {
  const ids = idsIn(member);
  const missing = [...acknowledged.keys()].filter((id) => !ids.has(id));
  record(`promotion of ${member.id} takes effect; ${missing.length} of ${acknowledged.size} acknowledged commits are not in its log`);
  for (const id of missing) record(`lost: ${id}, acknowledged at ${acknowledged.get(id)}`);
  lostCommits = [...lostCommits, ...missing];
}

async function runClient(world, isOver) {
  let session = await openSession(world.deployment.frontAddress, database, key);
  while (!isOver()) {
    if (!session.isOpen || session.isClosed()) {
      await sleep(200);
      session = await openSession(world.deployment.frontAddress, database, key);
      continue;
    }
    const id = nextId();
    const reply = await session.query(id, `WRITE seat-${id} held`);
    const answer = reply.cut ? 'cut' : reply.completion;
    if (answer.startsWith('DONE')) {
      acknowledged.set(id, ((Date.now() - startedAt) / 1_000).toFixed(3));
      record(`acknowledged ${id}`);
    } else record(`not acknowledged ${id}: ${answer}`);
    await sleep(answer.startsWith('DONE') ? 15 : 300);
  }
  session.close();
}

/** Whether replication is under way: an acknowledged commit is on the draining replica, and the others have not received it yet. */
function isReplicating({ find }) {
  const [draining, ...others] = ['i-m2', 'i-m3', 'i-m4'].map((id) => find(id).log.at(-1));
  const last = draining?.writes[0].id ?? '';
  return acknowledged.has(last) && others.every((entry) => (entry?.position.number ?? 0) < draining.position.number);
}

async function crashPrimary({ members }) {
  await sleep(crashAfterMilliseconds);
  for (let waited = 0; waited < 300 && !isReplicating(members); waited += 1) await sleep(1);
  const primary = members.members.find((member) => member.role === 'primary' && member.isUp);
  members.crash(primary.id);
  for (const member of members.members) record(`log of ${member.id} ends at ${members.positionText(member)}`);
  await sleep(downMilliseconds);
  const kept = idsIn(primary);
  const count = lostCommits.filter((id) => kept.has(id)).length;
  await members.restart(primary.id);
  record(`${count} of the ${lostCommits.length} lost commits were in the log with which ${primary.id} returned`);
}

async function main() {
  const world = await createWorld({
    record,
    specifications: [
      { id: 'i-m1', zone: 'zone-a', replicationMilliseconds: 8 },
      { id: 'i-m2', zone: 'zone-a', replicationMilliseconds: 2 },
      { id: 'i-m3', zone: 'zone-c', replicationMilliseconds: 8 },
    ],
    routes: [{ Hostname: database, RouteKind: 'primary', DeadlineMs: 800, SetpointMs: 200 }],
    synchronousReplicas: 1,
    options: { workMilliseconds: () => 11 },
    onPromoted,
  });
  try {
    let isOver = false;
    const clients = Array.from({ length: clientCount }, () => runClient(world, () => isOver));
    await sleep(1_000);
    await world.members.add({ id: 'i-m4', zone: 'zone-a', replicationMilliseconds: 8 });
    record('member i-m4 started, to replace i-m2');
    await sleep(2_000);
    const retired = world.members.retire('i-m2', servesOnMilliseconds);
    const crashed = hasTrouble ? crashPrimary(world) : undefined;
    await sleep(observedMilliseconds);
    await Promise.all([retired, crashed]);
    isOver = true;
    await Promise.all(clients);
  } finally {
    await world.stop();
  }
  record(`${acknowledged.size} commits acknowledged, ${lostCommits.length} of them lost by a promotion`);
  return lostCommits.length > 0;
}

await runCase(main, record);
