/**
 * A stand-in for one service's databases: members that speak the wire of the users' pages, a log with terms that replicas receive over the
 * network and apply afterwards, synchronous commits, promotion, beats and departure.
 */
import http from 'node:http';
import net from 'node:net';

const separator = '\r\n';

export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function cut(text) {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

function comparePositions(left, right) {
  return left.term === right.term ? left.number - right.number : left.term - right.term;
}

/** Sends a JSON body; resolves to the status, or to 0 without an answer. */
export function send(address, method, pathName, body, headers = {}, timeoutMilliseconds = 1_000) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port,
        method,
        path: pathName,
        agent: false,
        headers: {
          ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish(0, ''));
        response.on('end', () => finish(response.statusCode, Buffer.concat(chunks).toString('utf8')));
      },
    );
    const timer = setTimeout(() => request.destroy(), timeoutMilliseconds);
    function finish(status, answer) {
      clearTimeout(timer);
      resolve({ status, text: answer });
    }
    request.on('error', () => finish(0, ''));
    request.on('close', () => finish(0, ''));
    request.end(text);
  });
}

/**
 * @param name - the service's name
 * @param hosts - one loopback host for each member
 * @param onRun - called with each statement that a member runs
 * @param onReceived - called with each statement that a member has read whole
 */
export function createDatabase({ name, hosts, port, controls, record, onRun, onReceived = () => undefined, options = {} }) {
  const knobs = {
    synchronousReplicas: 0,
    workMilliseconds: 5,
    promoteMilliseconds: 100,
    applyMilliseconds: 8,
    networkMilliseconds: 1,
    beatMilliseconds: 1_200,
    zones: ['quilicura', 'providencia', 'maipu'],
    ...options,
  };
  const members = new Map();
  let primary;
  let runNumber = 0;

  function positionOf(log, length) {
    const last = log[length - 1];
    return last === undefined ? { term: 1, number: 0 } : { term: last.term, number: last.number };
  }

  function shown({ term, number }) {
    return `${term}.${number}`;
  }

  /** Copies what the primary has to a replica, one entry after the other, unless the replica receives nothing. */
  function replicate(replica) {
    if (replica.isCopying) return;
    replica.isCopying = true;
    setTimeout(() => {
      replica.isCopying = false;
      if (!replica.isRunning || !replica.receives || primary === undefined || primary === replica || !primary.isRunning) return;
      if (replica.log.length < primary.log.length) {
        replica.log.push(...primary.log.slice(replica.log.length));
        const received = replica.log.length;
        setTimeout(() => (replica.applied = Math.max(replica.applied, Math.min(received, replica.log.length))), knobs.applyMilliseconds);
        for (const wake of primary?.waiters ?? []) wake();
      }
    }, knobs.networkMilliseconds);
  }

  function replicateAll() {
    for (const member of members.values()) if (member !== primary) replicate(member);
  }
  const replicationTimer = setInterval(replicateAll, 5);

  function receivedBy(length) {
    return [...members.values()].filter((one) => one !== primary && one.isRunning && one.log.length >= length).length;
  }

  function commit(member, writes) {
    const previous = positionOf(member.log, member.log.length);
    member.log.push({ term: member.term, number: previous.number + 1, writes });
    member.applied = member.log.length;
    replicateAll();
    return member.log.length;
  }

  async function awaitReceived(member, length) {
    while (member.isRunning && member === primary && receivedBy(length) < knobs.synchronousReplicas) {
      await new Promise((resolve) => {
        member.waiters.add(resolve);
        setTimeout(resolve, 20);
      });
      member.waiters.clear();
    }
    return member.isRunning && member === primary;
  }

  function valueOf(member, thing, transaction) {
    const own = transaction?.writes.findLast((write) => write.thing === thing);
    if (own !== undefined) return own.data;
    for (let index = member.applied - 1; index >= 0; index -= 1) {
      const found = member.log[index].writes.findLast((write) => write.thing === thing);
      if (found !== undefined) return found.data;
    }
    return '-';
  }

  /** Runs one statement; resolves to rows and a stamp, or to a fault code. */
  async function run(member, connection, identifier, text) {
    const [word, rest] = cut(text);
    const { transaction } = connection;
    function stamp(kind, thing, prepared) {
      runNumber += 1;
      const made = `${member.id}.${runNumber}`;
      onRun({
        member: member.id,
        tenant: connection.tenant,
        identifier,
        kind,
        thing,
        prepared,
        at: Date.now(),
        stamp: made,
        transaction: transaction !== undefined,
        values: Object.fromEntries(connection.values),
        connection: connection.number,
      });
      return made;
    }
    const lostLead = () =>
      transaction === undefined ? member !== primary : !transaction.readOnly && (member !== primary || member.term !== transaction.term);
    if (transaction?.failed === true && word !== 'COMMIT' && word !== 'REVERT') return { code: 'MALFORMED' };
    switch (word) {
      case 'SINCE': {
        const [at, statement] = cut(rest);
        const [term, number] = at.split('.').map(Number);
        if (comparePositions(positionOf(member.log, member.applied), { term, number }) < 0) return { code: 'LAGGING' };
        return run(member, connection, identifier, statement);
      }
      case 'STATE': {
        const received = positionOf(member.log, member.log.length);
        const role = member === primary ? 'primary' : 'replica';
        return {
          rows: [`${role} ${member.term} ${shown(received)} 0 ${knobs.applyMilliseconds} 0 ${member.connections.size}`],
          stamp: '-',
        };
      }
      case 'BEGIN': {
        const readOnly = rest === 'READ';
        if (transaction !== undefined) return { code: 'MALFORMED' };
        if (!readOnly && member !== primary) return { code: 'READONLY' };
        connection.transaction = { readOnly, term: member.term, writes: [], failed: false };
        return { stamp: '-' };
      }
      case 'SET': {
        const [variable, value] = cut(rest);
        connection.values.set(variable, value);
        return { stamp: '-' };
      }
      case 'DEFINE': {
        const [statement, kindAndShape] = cut(rest);
        const [kind, shape] = cut(kindAndShape);
        connection.prepared.set(statement, { kind, shape });
        return { stamp: '-' };
      }
      case 'UNDEFINE':
        return connection.prepared.delete(rest) ? { stamp: '-' } : { code: 'UNDEFINED' };
      case 'CLEAR':
        connection.values.clear();
        connection.prepared.clear();
        return { stamp: '-' };
      case 'INVOKE': {
        const [statement, given] = cut(rest);
        const known = connection.prepared.get(statement);
        if (known === undefined) return { code: 'UNDEFINED' };
        return statementOf(known.kind, given, known.shape);
      }
      case 'READ':
      case 'WRITE':
        return statementOf(word, rest, '');
      case 'COMMIT': {
        if (transaction === undefined) return { code: 'MALFORMED' };
        await sleep(knobs.workMilliseconds);
        connection.transaction = undefined;
        if (transaction.failed || (transaction.writes.length > 0 && (member !== primary || member.term !== transaction.term)))
          return { code: 'READONLY' };
        if (!member.isRunning || connection.isClosed) return undefined;
        const made = stamp('COMMIT', '', '');
        if (transaction.writes.length > 0 && !(await awaitReceived(member, commit(member, transaction.writes)))) return undefined;
        return { stamp: made };
      }
      case 'REVERT':
        if (transaction === undefined) return { code: 'MALFORMED' };
        connection.transaction = undefined;
        return { stamp: stamp('REVERT', '', '') };
      default:
        return { code: 'MALFORMED' };
    }

    async function statementOf(kind, given, shape) {
      const [thing, data] = cut(given);
      const isWrite = kind === 'WRITE';
      const needsLead = isWrite || (transaction !== undefined && !transaction.readOnly);
      if (needsLead && lostLead()) return { code: 'READONLY' };
      await sleep(knobs.workMilliseconds);
      if (!member.isRunning || connection.isClosed) return undefined;
      if (needsLead && lostLead()) return { code: 'READONLY' };
      const made = stamp(kind, thing, shape);
      if (!isWrite) return { rows: knobs.rowsOf?.(thing) ?? [valueOf(member, thing, transaction)], stamp: made };
      const write = { thing, data, identifier };
      if (transaction !== undefined) transaction.writes.push(write);
      else if (!(await awaitReceived(member, commit(member, [write])))) return undefined;
      return { stamp: made };
    }
  }

  async function handle(member, connection, line) {
    const [word, rest] = cut(line);
    const write = (text) => connection.socket.writable && connection.socket.write(text, 'latin1');
    const state = () => (connection.transaction === undefined ? 'I' : connection.transaction.failed ? 'E' : 'T');
    if (word === 'CLOSE') return connection.socket.end();
    // A member that is cut off from the cores gets nothing of theirs, and they get nothing of it. They open connections as tenant `-`.
    if (member.isCutOff && (connection.isOpen ? connection.tenant : rest.split(' ')[1]) === '-') return undefined;
    if (!connection.isOpen) {
      const [service, tenant, id] = rest.split(' ');
      if (word !== 'OPEN' || service !== name || (id !== undefined && id !== member.id)) {
        write(`FAULT WRONGNODE ${member.id}${separator}`);
        return connection.socket.end();
      }
      connection.isOpen = true;
      connection.tenant = tenant;
      return write(`IDLE I ${shown(positionOf(member.log, member.applied))}${separator}`);
    }
    const [identifier, text] = cut(rest);
    onReceived({ member: member.id, tenant: connection.tenant, identifier, text, at: Date.now() });
    const outcome = word === 'QUERY' ? await run(member, connection, identifier, text) : { code: 'MALFORMED' };
    // An answer that is lost because the member or the connection has ended.
    if (outcome === undefined || !member.isRunning || connection.isClosed) return undefined;
    if (outcome.code !== undefined && connection.transaction !== undefined) connection.transaction.failed = true;
    for (const row of outcome.rows ?? []) {
      write(`ROW ${row}${separator}`);
      if (connection.socket.writableNeedDrain) await new Promise((resolve) => (connection.wake = resolve));
      if (connection.isClosed) return undefined;
    }
    const end = outcome.code === undefined ? `DONE ${outcome.stamp}` : `FAULT ${outcome.code} ${member.id}`;
    return write(`${end}${separator}IDLE ${state()} ${shown(positionOf(member.log, member.applied))}${separator}`);
  }

  function accept(member, socket) {
    const connection = {
      number: (member.lastConnection += 1),
      socket,
      isOpen: false,
      isClosed: false,
      tenant: '',
      transaction: undefined,
      values: new Map(),
      prepared: new Map(),
    };
    member.connections.add(connection);
    socket.setEncoding('latin1');
    socket.setNoDelay(true);
    let rest = '';
    let work = Promise.resolve();
    socket.on('data', (chunk) => {
      const lines = (rest + chunk).split(separator);
      rest = lines.pop();
      for (const line of lines) work = work.then(() => handle(member, connection, line));
    });
    socket.on('drain', () => connection.wake?.());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      connection.isClosed = true;
      connection.wake?.();
      connection.transaction = undefined;
      member.connections.delete(connection);
    });
  }

  function listen(member) {
    return new Promise((resolve, reject) => {
      const server = net.createServer((socket) => accept(member, socket));
      member.server = server;
      server.once('error', reject);
      server.listen({ host: member.host, port: member.port }, resolve);
    });
  }

  function beatBody(member) {
    member.sequence += 1;
    return {
      Plant: name,
      Address: `${member.host}:${member.port}`,
      ZoneName: member.zone,
      Generation: 'v1',
      Capacity: 10,
      Phase: member.isDraining ? 'draining' : 'in_service',
      WarmupLeftMs: 0,
      DbPosition: member === primary ? 'primary' : 'replica',
      CallSeq: member.sequence,
    };
  }

  /** One call to the first node that acknowledges it, with a pause that grows. */
  async function callControl(member, pathName, body) {
    for (let attempt = 0; attempt < 4 && member.isRunning; attempt += 1) {
      const control = controls()[member.control % controls().length];
      const { status } = await send(control, 'POST', pathName, body());
      if (status >= 200 && status < 300) return true;
      member.control += 1;
      await sleep(50 * 2 ** attempt);
    }
    return false;
  }

  async function beat(member) {
    const isAcknowledged = await callControl(member, `/api/members/${member.id}/beat`, () => beatBody(member));
    if (isAcknowledged) member.acknowledgedBeats += 1;
    return isAcknowledged;
  }

  async function beatUntilGone(member) {
    while (member.isRunning && !member.hasLeft) {
      if (member.beatsByItself && !member.isCutOff) void beat(member);
      await sleep(knobs.beatMilliseconds * (0.95 + Math.random() / 10));
    }
  }

  /** Starts a member; one whose log is given continues with that log. */
  async function start(id, host, memberPort, index, log = []) {
    const member = {
      id,
      host,
      port: memberPort,
      zone: knobs.zones[index % knobs.zones.length],
      term: 1,
      log,
      applied: log.length,
      receives: true,
      isCutOff: false,
      beatsByItself: true,
      isRunning: true,
      isDraining: false,
      hasLeft: false,
      isCopying: false,
      sequence: 0,
      acknowledgedBeats: 0,
      control: index,
      lastConnection: 0,
      waiters: new Set(),
      connections: new Set(),
    };
    if (primary !== undefined) member.term = primary.term;
    members.set(id, member);
    await listen(member);
    void beatUntilGone(member);
    return member;
  }

  /** The process ends at once: its port refuses, its connections break, its log stays. */
  function crash(member) {
    record(`member ${member.id} ends; its log holds ${member.log.length} commits`);
    member.isRunning = false;
    member.server.close();
    for (const { socket } of member.connections) socket.destroy();
  }

  async function leave(member) {
    const isAcknowledged = await callControl(member, `/api/members/${member.id}/leave`, () => ({}));
    if (isAcknowledged) member.hasLeft = true;
    return isAcknowledged;
  }

  function promote(id) {
    const member = members.get(id);
    if (member === undefined || !member.isRunning) return false;
    if (member === primary) return true;
    const term = Math.max(...[...members.values()].map((one) => one.term)) + 1;
    const length = member.log.length;
    for (const one of members.values()) {
      if (one === member) continue;
      // Replicas that had got further are cut back; one that does not run is cut back when it returns.
      if (one.log.length > length) one.removed = one.log.slice(length);
      if (one.isRunning && one.log.length > length) one.log.length = length;
      one.applied = Math.min(one.applied, one.log.length);
      one.term = term;
    }
    primary = member;
    member.term = term;
    member.applied = member.log.length;
    return true;
  }

  return {
    name,
    members,
    knobs,
    primary: () => primary,
    setPrimary: (member) => (primary = member),
    start,
    startAll: async function startAll() {
      for (const [index, host] of hosts.entries()) await start(`i-${String.fromCharCode(97 + index)}${port}`, host, port, index);
      primary = [...members.values()][0];
    },
    crash,
    leave,
    beat,
    beatBody,
    promote,
    stop: function stop() {
      clearInterval(replicationTimer);
      for (const member of members.values()) if (member.isRunning) crash(member);
    },
  };
}

/** A stand-in for the platform: promotions and usage reports, with fences. */
export async function startPlatform({ host, port, databases, record, onPromotion }) {
  const fences = new Map();
  const usage = new Map();
  let slowFactor = 1;
  let notify;
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => void answer(request, response, Buffer.concat(chunks).toString('utf8')));
  });

  async function answer(request, response, text) {
    const body = JSON.parse(text);
    const fence = Number(request.headers['fence-number']);
    const holder = request.headers['duty-holder'];
    const subject = request.url === '/promotion' ? `promotion ${body.Plant}` : 'usage';
    const reply = (status) => {
      if (request.url === '/promotion')
        record(`platform answers ${status} to promotion of ${body.InstanceId} by ${holder}, fence ${fence}`);
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end('{}');
    };
    if (fence < (fences.get(subject) ?? 0)) return reply(409);
    fences.set(subject, fence);
    if (request.url === '/usage') {
      usage.set(body.WindowNo, [...(usage.get(body.WindowNo) ?? []), JSON.stringify(body.Tallies)]);
      return reply(200);
    }
    const database = databases.find((one) => one.name === body.Plant);
    const member = database?.members.get(body.InstanceId);
    if (member === undefined || !member.isRunning) return reply(409);
    if (member === database.primary()) return reply(200);
    notify?.({ holder, fence, member: member.id });
    notify = undefined;
    await sleep(database.knobs.promoteMilliseconds * slowFactor);
    if (!member.isRunning) return reply(409);
    onPromotion?.(database, member);
    database.promote(body.InstanceId);
    return reply(200);
  }

  await new Promise((resolve) => server.listen({ host, port }, resolve));
  return {
    usage,
    /** Calls that arrive within the given time take so many times as long. */
    slowDown: function slowDown(factor, milliseconds) {
      slowFactor = factor;
      setTimeout(() => (slowFactor = 1), milliseconds);
    },
    /** Tells of the next promotion that is called for. */
    onNextPromotion: (listener) => (notify = listener),
    stop: function stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
