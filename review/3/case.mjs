/**
 * Fault: processes that end by themselves. On each of two machines a few clients send queries without waiting for the answers, at a
 * twentieth of the machine's bandwidth. The rule is broken if the proxies of both end by themselves three times.
 */
import net from 'node:net';
import { createRecord } from '../stand-ins/record.mjs';
import { sleep } from '../stand-ins/deployment.mjs';
import { createWorld, key, runCase } from '../stand-ins/world.mjs';
import { nextId, openSession } from '../stand-ins/client.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const database = 'lepu270';
const floodClients = 4;
/** Each client's rate; all of a machine's together send 56 Mbit/s of its 1,000. */
const bytesPerTick = 88_000;
const tickMilliseconds = 50;
const thing = 'a'.repeat(150);
const usualClients = 6;
const endsToBreak = 3;
const floodUntilMilliseconds = 105_000;
const record = createRecord(new URL('record.txt', import.meta.url).pathname);
const startedAt = Date.now();
let sentBytes = 0;
let unanswered = 0;

/** A client that asks without waiting, and connects again when it is cut. */
async function flood({ frontAddress }, isOver) {
  while (!isOver()) {
    const socket = net.connect(frontAddress);
    socket.on('error', () => socket.destroy());
    socket.resume();
    socket.write(`OPEN ${database} ${key}\r\n`);
    await sleep(500);
    while (!isOver() && !socket.destroyed) {
      let text = '';
      while (text.length < bytesPerTick) text += `QUERY ${nextId()} READ ${thing}\r\n`;
      sentBytes += text.length;
      if (!socket.destroyed) socket.write(text);
      await sleep(tickMilliseconds);
    }
    socket.destroy();
  }
}

/** A client as usual: one query at a time. */
async function use({ frontAddress, proxy }, isOver) {
  while (!isOver()) {
    const session = await openSession(frontAddress, database, key);
    while (session.isOpen && !isOver() && !session.isClosed()) {
      const id = nextId();
      const reply = await session.query(id, `WRITE seat-${id} held`);
      if (reply.cut) {
        unanswered += 1;
        record(`cut without an answer: ${id}, at ${proxy}`);
      }
      await sleep(50);
    }
    session.close();
    await sleep(200);
  }
}

function countEnds(world) {
  return world.deployment.edges.map(({ proxy }) => world.deployment.ends.filter((end) => end.key === proxy && !end.wasSignalled).length);
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
    edgeCount: 2,
  });
  let isBroken = false;
  try {
    let isOver = false;
    const { edges } = world.deployment;
    const clients = edges.flatMap((edge) => [
      ...Array.from({ length: usualClients }, () => use(edge, () => isOver)),
      ...Array.from({ length: hasTrouble ? floodClients : 0 }, () => flood(edge, () => isOver)),
    ]);
    const until = hasTrouble ? floodUntilMilliseconds : 40_000;
    while (Date.now() - startedAt < until && !isBroken) {
      await sleep(1_000);
      isBroken = countEnds(world).every((count) => count >= endsToBreak);
    }
    record(`ends by themselves: ${countEnds(world).join(' and ')}; ${Math.round(sentBytes / 1e6)} MB of queries sent`);
    record(`${unanswered} writes of the usual clients were cut without an answer`);
    isOver = true;
    await Promise.race([Promise.all(clients), sleep(3_000)]);
  } finally {
    await world.stop();
  }
  return isBroken;
}

await runCase(main, record);
