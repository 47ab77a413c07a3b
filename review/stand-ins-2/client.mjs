/** A stand-in for a client of the wire, and for the operator. */
import net from 'node:net';
import { send, sleep } from './database.mjs';

const separator = '\r\n';
let lastIdentifier = 0;

export function nextIdentifier() {
  lastIdentifier += 1;
  return `q${process.pid.toString(16)}${lastIdentifier.toString(16).padStart(6, '0')}`;
}

/** Opens a session. Text fields are sent as UTF-8. */
export function openSession(address, database, who, { encoding = 'utf8' } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    socket.setNoDelay(true);
    socket.setEncoding(encoding);
    let rest = '';
    let lines = [];
    let waiting;
    const session = { isClosed: false, wasReset: false, state: 'I', unasked: [] };

    function finish(outcome) {
      const done = waiting;
      waiting = undefined;
      done?.(outcome);
    }

    function onLine(line) {
      if (waiting === undefined) {
        session.unasked.push(line);
        return;
      }
      lines.push(line);
      const [word, state] = line.split(' ');
      if (word !== 'IDLE') return;
      session.state = state;
      const reply = lines;
      lines = [];
      const end = reply.find((one) => one.startsWith('DONE ') || one.startsWith('FAULT '));
      finish({
        isAnswered: true,
        rows: reply.filter((one) => one.startsWith('ROW ')).map((one) => one.slice(4)),
        isDone: end?.startsWith('DONE ') === true,
        stamp: end?.startsWith('DONE ') === true ? end.slice(5) : '',
        code: end?.startsWith('FAULT ') === true ? end.split(' ')[1] : '',
        state,
      });
    }

    socket.on('data', (chunk) => {
      const pieces = (rest + chunk).split(separator);
      rest = pieces.pop();
      for (const line of pieces) onLine(line);
    });
    socket.on('error', () => {
      session.wasReset = true;
    });
    socket.on('close', () => {
      session.isClosed = true;
      const fault = lines.find((one) => one.startsWith('FAULT '));
      finish({ isAnswered: false, rows: [], isDone: false, stamp: '', code: fault?.split(' ')[1] ?? 'CUT', state: '' });
    });

    /** Resolves to the answer; `isAnswered` is false if the connection ended without one. */
    session.query = function query(text, identifier = nextIdentifier()) {
      return new Promise((resolveQuery) => {
        const sentAt = Date.now();
        if (session.isClosed) return resolveQuery({ isAnswered: false, isSent: false, code: 'CLOSED', rows: [] });
        waiting = (outcome) => resolveQuery({ ...outcome, identifier, isSent: true, sentAt, endedAt: Date.now() });
        socket.write(`QUERY ${identifier} ${text}${separator}`, encoding);
      });
    };
    session.close = function close() {
      if (!session.isClosed) socket.end(`CLOSE${separator}`);
    };
    session.destroy = () => socket.destroy();
    session.socket = socket;
    waiting = (outcome) => {
      session.isOpen = outcome.isAnswered;
      session.code = outcome.code;
      resolve(session);
    };
    socket.on('connect', () => socket.write(`OPEN ${database} ${who}${separator}`, encoding));
  });
}

/** Sends a configuration until it has a clear answer; resolves to the status. */
export async function configure(cores, configuration, { record, limitMilliseconds = 20_000 }) {
  const deadline = Date.now() + limitMilliseconds;
  for (let attempt = 0; Date.now() < deadline; attempt += 1) {
    const { status, text } = await send(cores[attempt % cores.length], 'POST', '/api/config/replace', configuration);
    if (status === 200 || (status >= 400 && status < 500 && status !== 408 && status !== 429)) {
      record(`operator: configuration ${configuration.Generation} is answered ${status} ${status === 200 ? '' : text.slice(0, 300)}`);
      return status;
    }
    await sleep(Math.min(1_000, 50 * 2 ** Math.min(attempt, 5)));
  }
  return 0;
}

/** Waits until a statement is served on a session of its own. */
export async function awaitServing(front, database, who, text, limitMilliseconds = 30_000) {
  const deadline = Date.now() + limitMilliseconds;
  while (Date.now() < deadline) {
    const session = await openSession(front, database, who);
    if (session.isOpen) {
      const reply = await session.query(text);
      session.close();
      if (reply.isDone) return true;
    }
    await sleep(100);
  }
  return false;
}
