/** Stand-in for a client: one session, one query at a time. */
import net from 'node:net';
import { createLines, splitFirst } from './wire.mjs';

let lastId = 0;

export function nextId() {
  lastId += 1;
  return `${process.pid.toString(16).padStart(6, '0')}${lastId.toString(16).padStart(10, '0')}`;
}

/**
 * Opens a session. `query` resolves to the completion line, the rows and the state; `cut` is set when the connection ended without a
 * complete answer.
 */
export async function openSession({ host, port }, database, key) {
  const socket = net.connect({ host, port });
  let waiting;
  let rows = [];
  let completion = '';
  let isOpen = false;

  function finish(reply) {
    const resolve = waiting;
    waiting = undefined;
    rows = [];
    completion = '';
    resolve?.(reply);
  }

  function expectReply() {
    return new Promise((resolve) => {
      if (socket.destroyed) resolve({ cut: true });
      else waiting = resolve;
    });
  }

  createLines(socket, (line) => {
    const [word, rest] = splitFirst(line);
    if (word === 'ROW') rows.push(rest);
    else if (word === 'IDLE') finish({ cut: false, completion, rows, state: rest.slice(0, 1) });
    else {
      completion = line;
      if (!isOpen && word === 'FAULT') finish({ cut: false, completion, rows, state: '' });
    }
  });
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => finish({ cut: true }));
  socket.on('end', () => socket.destroy());
  const opening = expectReply();
  socket.on('connect', () => socket.write(`OPEN ${database} ${key}\r\n`));
  const opened = await opening;
  isOpen = opened.cut === false && opened.state === 'I';
  return {
    isOpen,
    refusal: opened.cut ? 'cut' : opened.completion,
    isClosed: () => socket.destroyed || socket.readableEnded,
    query: function query(id, text) {
      const reply = expectReply();
      if (!socket.destroyed) socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
      return reply;
    },
    close: function close() {
      if (!socket.destroyed) socket.end('CLOSE\r\n');
    },
  };
}
