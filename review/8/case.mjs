/**
 * A replica says that it drains, which is acknowledged; then it is cut off from the cores, but not from the edges, and a beat that it sent
 * before arrives seconds late. The rule: no request reaches a member later than `DrainLimitMs` after it was acknowledged that it drains.
 *
 * TROUBLE=0: neither the cut nor the late beat. TROUBLE=cut and TROUBLE=late: one of them alone, which must hold as well.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { send } from '../stand-ins-2/database.mjs';
import { awaitServing, configure, openSession } from '../stand-ins-2/client.mjs';
import { configurationOf, keys, runCase, sleep } from '../stand-ins-2/case.mjs';

const trouble = process.env.TROUBLE ?? '1';
const isCut = trouble === '1' || trouble === 'cut';
const isLate = trouble === '1' || trouble === 'late';
const drainLimitMilliseconds = 7_000;
const spareMilliseconds = 2_500;
/** A call without an answer is given up after a second, and the next node is called. */
const callMilliseconds = 1_000;
/** How long the member is cut off; it beats every 1.2 s all the while. */
const cutMilliseconds = 7_000;
/** When the late beat arrives, counted from the acknowledgement; it is a second later than that. */
const lateMilliseconds = 3_400;

const received = [];

await runCase({
  folder: path.dirname(fileURLToPath(import.meta.url)),
  edgeCount: 2,
  onReceived: (request) => received.push(request),
  play: async function play({ record, fleet, database }) {
    if ((await configure(fleet.cores, configurationOf(7), { record })) !== 200) throw new Error('the configuration was not acknowledged');
    // The second edge stands in the zone of the second member, so that it reads there.
    const { front } = fleet.edges[1];
    if (!(await awaitServing(front, 'reservas', keys[0], 'WRITE warm up'))) throw new Error('nothing was served');
    const leaving = [...database.members.values()][1];
    if (leaving === database.primary()) throw new Error('the second member leads');
    let isStopped = false;
    const clients = Array.from({ length: 6 }, async function read(_, index) {
      const session = await openSession(front, 'mapa', keys[index % 2]);
      while (!isStopped && !session.isClosed) {
        await session.query(`READ bay${index}`);
        await sleep(20);
      }
      session.destroy();
    });
    const writer = (async function write() {
      const session = await openSession(front, 'reservas', keys[0]);
      for (let number = 0; !isStopped && !session.isClosed; number += 1) {
        await session.query(`WRITE bay v${number}`);
        await sleep(100);
      }
      session.destroy();
    })();
    await sleep(5_000);

    // A beat that is on its way for long; without an answer the member calls the next node, with the next number.
    const lateBeat = database.beatBody(leaving);
    record(`${leaving.id} sends a beat, in_service, CallSeq ${lateBeat.CallSeq}, to ${fleet.cores[0]}`);
    if (!isLate) await send(fleet.cores[0], 'POST', `/api/members/${leaving.id}/beat`, lateBeat);
    else await sleep(callMilliseconds);
    leaving.isDraining = true;
    leaving.beatsByItself = false;
    leaving.control = 1;
    if (!(await database.beat(leaving))) throw new Error('draining was not acknowledged');
    const acknowledgedAt = Date.now();
    record(`${leaving.id} says draining, CallSeq ${leaving.sequence}, which is acknowledged`);
    const beats = setInterval(() => leaving.isCutOff || void database.beat(leaving), database.knobs.beatMilliseconds);
    if (isCut) {
      leaving.isCutOff = true;
      record(`${leaving.id} is cut off from the cores, not from the edges`);
      setTimeout(() => {
        leaving.isCutOff = false;
        record(`${leaving.id} is no longer cut off`);
      }, cutMilliseconds);
    }
    await sleep(lateMilliseconds);
    if (isLate) {
      const { status } = await send(fleet.cores[0], 'POST', `/api/members/${leaving.id}/beat`, lateBeat);
      record(`the late beat, CallSeq ${lateBeat.CallSeq}, arrives; it is answered ${status}`);
    }
    await sleep(drainLimitMilliseconds + spareMilliseconds - lateMilliseconds);
    clearInterval(beats);
    record(`${leaving.id} says leave: ${await database.leave(leaving)}`);
    isStopped = true;
    await Promise.all([...clients, writer]);
    const reads = received.filter(
      (request) => request.member === leaving.id && request.identifier !== '-' && request.text.includes('READ '),
    );
    const seconds = new Map();
    for (const { at } of reads) {
      const second = Math.floor((at - acknowledgedAt) / 1_000);
      if (second >= -2) seconds.set(second, (seconds.get(second) ?? 0) + 1);
    }
    const counts = [...seconds].sort(([left], [right]) => left - right).map(([second, count]) => `${second} s: ${count}`);
    record(`reads that reached ${leaving.id}, by the time since the acknowledgement: ${counts.join(', ')}`);
    const late = reads.filter((request) => request.at - acknowledgedAt > drainLimitMilliseconds);
    for (const { identifier, at } of late.slice(0, 5)) record(`late: ${identifier}, ${at - acknowledgedAt} ms after the acknowledgement`);
    return late.length > 0
      ? `DRAIN: ${late.length} requests reached a draining member later than DrainLimitMs after its acknowledgement`
      : '';
  },
});
