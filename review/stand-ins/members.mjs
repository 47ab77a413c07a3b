/**
 * Stand-ins for the members of one service: the session wire, a log with replication, STATE, beats, and the effect of a promotion. They do
 * what the pages say of members, and nothing else: a commit takes the next number, replicas receive it over the network and apply it after,
 * and with SyncReplicas it is answered once so many replicas have received it.
 */
import net from 'node:net';
import { call } from './calls.mjs';
import { createLines, splitFirst } from './wire.mjs';

const beatMilliseconds = 1_200;
const promotionMilliseconds = 100;
const firstTerm = 3;
const firstNumber = 1_000;

function comparePositions(left, right) {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

/**
 * @param specifications - of each member: id, zone and replication delay in milliseconds
 * @param options.workMilliseconds - how long a read, a write or a commit takes: a function of the statement's kind
 */
export function createService({ service, specifications, host, record, controlAddresses, synchronousReplicas, options }) {
  const members = [];
  /** Ids of statements that a member began to run, with the member and the time. */
  const begun = new Map();
  let stampNumber = 0;

  function position(member) {
    return member.log.at(-1)?.position ?? { term: firstTerm, number: firstNumber };
  }

  function positionText(member) {
    const { term, number } = position(member);
    return `${term}.${number}`;
  }

  /** Sends an entry to every other member; resolves once so many replicas have received it. */
  function replicate(primary, entry, needed) {
    const { term } = primary;
    return new Promise((resolve) => {
      let received = 0;
      if (needed === 0) resolve();
      for (const replica of members) {
        if (replica === primary) continue;
        setTimeout(() => {
          const follows = replica.isUp && primary.isUp && replica.role === 'replica' && primary.role === 'primary' && primary.term === term;
          if (!follows) return;
          // Entries that the replica has missed come first.
          for (const earlier of primary.log) {
            if (comparePositions(earlier.position, entry.position) > 0) break;
            if (comparePositions(earlier.position, position(replica)) > 0) replica.log.push(earlier);
          }
          replica.term = term;
          received += 1;
          if (received === needed) resolve();
        }, replica.replicationMilliseconds);
      }
    });
  }

  async function commit(member, writes) {
    const last = position(member);
    const entry = { position: { term: member.term, number: last.number + 1 }, writes };
    member.log.push(entry);
    await replicate(member, entry, synchronousReplicas());
    return entry;
  }

  function stamp(id) {
    stampNumber += 1;
    return `7.${stampNumber.toString(16)}.${id.slice(0, 4)}`;
  }

  function serve(member, socket) {
    const session = { opened: false, transaction: undefined, prepared: new Map(), queue: Promise.resolve() };

    function send(text) {
      if (member.isUp && !socket.destroyed) socket.write(text, 'latin1');
    }

    function idle(status) {
      return `IDLE ${status} ${positionText(member)}\r\n`;
    }

    function status() {
      if (session.transaction === undefined) return 'I';
      return session.transaction.failed ? 'E' : 'T';
    }

    function done(id, rows = []) {
      send(`${rows.map((row) => `ROW ${row}\r\n`).join('')}DONE ${id === '-' ? '-' : stamp(id)}\r\n${idle(status())}`);
    }

    function fault(code, text) {
      if (session.transaction !== undefined) session.transaction.failed = true;
      send(`FAULT ${code} ${text}\r\n${idle(status())}`);
    }

    async function work(id, kind) {
      begun.set(id, { member: member.id, at: Date.now() });
      member.busy += 1;
      await new Promise((resolve) => setTimeout(resolve, options.workMilliseconds(kind)));
      member.busy -= 1;
    }

    /** A plain transaction or a write needs the lead. */
    function lacksLead(needsLead) {
      return needsLead && member.role !== 'primary';
    }

    async function runStatement(id, text) {
      let [word, rest] = splitFirst(text);
      if (word === 'SINCE') {
        const [needed, statement] = splitFirst(rest);
        const [term, number] = needed.split('.').map(Number);
        if (comparePositions(position(member), { term, number }) < 0) return fault('LAGGING', member.id);
        [word, rest] = splitFirst(statement);
      }
      const { transaction } = session;
      if (transaction?.failed && word !== 'COMMIT' && word !== 'REVERT') return fault('MALFORMED', 'the transaction has failed');
      if (word === 'STATE') {
        const { term } = member;
        return done(id, [`${member.role} ${term} ${positionText(member)} 0 ${member.role === 'primary' ? 0 : 8} ${member.busy} 1`]);
      }
      if (word === 'CLEAR') session.prepared.clear();
      if (['SET', 'CLEAR', 'UNDEFINE'].includes(word)) return done(id);
      if (word === 'DEFINE') {
        const [name, shape] = splitFirst(rest);
        session.prepared.set(name, shape);
        return done(id);
      }
      if (word === 'BEGIN') {
        if (lacksLead(rest !== 'READ')) return fault('READONLY', member.id);
        session.transaction = { readOnly: rest === 'READ', writes: [], failed: false };
        return done(id);
      }
      if (word === 'REVERT') {
        session.transaction = undefined;
        return done(id);
      }
      if (word === 'COMMIT') {
        if (transaction === undefined) return fault('MALFORMED', 'no transaction');
        session.transaction = undefined;
        if (transaction.failed) return fault('ABORTED', 'rolled back');
        if (transaction.writes.length > 0 && lacksLead(true)) return fault('READONLY', member.id);
        await work(id, 'commit');
        if (transaction.writes.length > 0) {
          const entry = await commit(member, transaction.writes);
          record(`ran ${id} at ${member.id}: commit ${entry.position.term}.${entry.position.number}`);
        }
        return done(id);
      }
      const [name, parameters] = word === 'INVOKE' ? splitFirst(rest) : ['', rest];
      if (word === 'INVOKE' && !session.prepared.has(name)) return fault('UNDEFINED', name);
      const writes = word === 'WRITE' || (word === 'INVOKE' && session.prepared.get(name).startsWith('WRITE'));
      if (lacksLead(writes || (transaction !== undefined && !transaction.readOnly))) return fault('READONLY', member.id);
      await work(id, writes ? 'write' : 'read');
      if (!writes) return done(id, [`${member.id}-${parameters}`]);
      if (lacksLead(true)) return fault('READONLY', member.id);
      const write = { id, parameters };
      if (transaction !== undefined) {
        transaction.writes.push(write);
        return done(id);
      }
      const entry = await commit(member, [write]);
      record(`ran ${id} at ${member.id}: write ${entry.position.term}.${entry.position.number}`);
      return done(id);
    }

    function onLine(line) {
      const [word, rest] = splitFirst(line);
      if (!session.opened) {
        const [name, who] = splitFirst(rest);
        const [, expected] = splitFirst(who);
        if (word !== 'OPEN' || name !== service || (expected !== '' && expected !== member.id)) {
          send(`FAULT WRONGNODE ${member.id}\r\n`);
          socket.end();
          return;
        }
        session.opened = true;
        send(idle('I'));
      } else if (word === 'QUERY') {
        const [id, text] = splitFirst(rest);
        session.queue = session.queue.then(() => runStatement(id, text));
      } else socket.end();
    }

    member.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => member.sockets.delete(socket));
    createLines(socket, onLine);
  }

  /** Tells the system that the member lives; the next node is called when one does not answer. */
  async function beat(member) {
    if (!member.isUp) return false;
    member.sequence += 1;
    const body = {
      Plant: service,
      Address: member.address,
      ZoneName: member.zone,
      Generation: 'v1',
      Capacity: 10,
      Phase: member.phase,
      WarmupLeftMs: 0,
      DbPosition: member.role,
      CallSeq: member.sequence,
    };
    const reply = await call(controlAddresses[member.target % controlAddresses.length], 'POST', `/api/members/${member.id}/beat`, body);
    const isAcknowledged = reply.status >= 200 && reply.status < 300;
    if (!isAcknowledged) member.target += 1;
    return isAcknowledged;
  }

  async function beatForever(member) {
    const { life } = member;
    while (member.isUp && member.life === life) {
      await beat(member);
      await new Promise((resolve) => setTimeout(resolve, beatMilliseconds));
    }
  }

  /** Listens at the member's address, a new one at its first start, and beats. */
  async function run(member) {
    member.isUp = true;
    member.life += 1;
    member.server = net.createServer((socket) => serve(member, socket));
    await new Promise((resolve) => member.server.listen(member.port, host, resolve));
    member.port = member.server.address().port;
    member.address = `${host}:${member.port}`;
    void beatForever(member);
  }

  /** Adds a member; every one but the first is a replica with an empty log, which it receives with the next commit. */
  function add(specification) {
    const member = {
      ...specification,
      role: members.length === 0 ? 'primary' : 'replica',
      term: members.find((other) => other.role === 'primary')?.term ?? firstTerm,
      log: [],
      isUp: false,
      life: 0,
      server: undefined,
      sockets: new Set(),
      sequence: 0,
      target: members.length,
      phase: 'in_service',
      address: '',
      port: 0,
      busy: 0,
    };
    members.push(member);
    return run(member);
  }

  async function start() {
    for (const specification of specifications) await add(specification);
  }

  /** The member's process ends: its connections are reset, its port refuses, and it says nothing any more. */
  function crash(id) {
    const member = find(id);
    record(`member ${id} (${member.role}, log ends at ${positionText(member)}) is down`);
    member.isUp = false;
    member.server.close();
    for (const socket of member.sockets) socket.resetAndDestroy();
  }

  /** The member returns with its log: as it was, or as a replica if another was promoted meanwhile. */
  async function restart(id) {
    const member = find(id);
    await run(member);
    record(`member ${id} (${member.role}, log ends at ${positionText(member)}) is back`);
  }

  /** A planned end: says `draining` until it is acknowledged, serves on, says that it leaves, and ends. */
  async function retire(id, servesOnMilliseconds) {
    const member = find(id);
    member.phase = 'draining';
    while (!(await beat(member))) await new Promise((resolve) => setTimeout(resolve, 100));
    record(`member ${id}: draining is acknowledged`);
    await new Promise((resolve) => setTimeout(resolve, servesOnMilliseconds));
    const { status } = await call(controlAddresses[0], 'POST', `/api/members/${id}/leave`, {});
    record(`member ${id} (${member.role}, log ends at ${positionText(member)}) leaves: ${status}`);
    member.isUp = false;
    member.server.close();
    for (const socket of member.sockets) socket.destroy();
  }

  function find(id) {
    return members.find((member) => member.id === id);
  }

  /** The effect of a promotion: the named member leads the next term with what it has received; the others follow it. */
  function promote(id, onEffect) {
    const chosen = find(id);
    if (chosen === undefined || !chosen.isUp) return false;
    if (chosen.role === 'primary' && members.every((member) => member === chosen || member.role === 'replica')) return true;
    setTimeout(() => {
      if (!chosen.isUp || chosen.role === 'primary') return;
      const term = Math.max(...members.map((member) => member.term)) + 1;
      onEffect?.(chosen);
      for (const member of members) {
        if (member === chosen || !member.isUp) continue;
        member.role = 'replica';
        member.log = member.log.filter((entry) => comparePositions(entry.position, position(chosen)) <= 0);
      }
      const former = members.find((member) => member.role === 'primary');
      if (former !== undefined) former.role = 'replica';
      chosen.role = 'primary';
      chosen.term = term;
      record(`member ${id} is primary of term ${term}, log ends at ${positionText(chosen)}`);
      for (const member of members) void beat(member);
    }, promotionMilliseconds);
    return true;
  }

  return {
    service,
    members,
    begun,
    start,
    add,
    crash,
    restart,
    retire,
    find,
    promote,
    positionText,
    stop: function stop() {
      for (const member of members) {
        member.isUp = false;
        member.server?.close();
        for (const socket of member.sockets) socket.destroy();
      }
    },
  };
}
