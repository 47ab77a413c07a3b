/** Serves one client connection in one task: opens its session, then answers its queries in order. */
import * as Option from 'fp-ts/lib/Option.js';
import { byteText, identifiers, type Stream } from '@stallstall/kernel';
import type { ClientMessage } from '@stallstall/session-protocol';
import { admissions } from './admission.js';
import type { Client, Clients } from './client-table.js';
import { sessionCommands, type CommandParts } from './session-commands.js';
import { sessions } from './sessions.js';
import { transactions } from './transactions.js';
import { warmUps } from './warm-up.js';

export type ClientParts = Readonly<{ commands: CommandParts; clients: Clients; stopped: () => boolean }>;

export type ClientConnections = Readonly<{ serve: (stream: Stream) => Promise<void> }>;

/** How long a client that connects before the first placement update has to wait; clients time out after two seconds. */
const placementWaitMilliseconds = 1_800;
const placementPollMilliseconds = 25;
/** Message size limit before a configuration sets one. */
const defaultMessageBytes = 1_048_576;

async function awaitPlacement({ commands, stopped }: ClientParts): Promise<void> {
  const { clock, view } = commands;
  const deadline = identifiers.after(clock.now(), placementWaitMilliseconds);
  while (!stopped() && Option.isNone(view().configuration) && clock.now() < deadline) await clock.sleep(placementPollMilliseconds);
}

/** A client's connection; `client` is set once the first message has opened a session. */
type Connection = { readonly stream: Stream; client: Client | undefined };

/** Handles the first message of a connection; returns false when the connection must be closed. */
async function open(parts: ClientParts, connection: Connection, incoming: ClientMessage, nextId: () => string): Promise<boolean> {
  const { dialect, view, connections } = parts.commands;
  const { stream } = connection;
  if (incoming.kind !== 'open') {
    if (incoming.kind !== 'close') stream.write(dialect.fault('malformed', 'the first message must open a session'));
    return false;
  }
  await awaitPlacement(parts);
  if (Option.isNone(view().configuration)) {
    stream.write(dialect.fault('saturated', 'the placement is not available yet; retry in 500 ms'));
    return false;
  }
  const database = byteText.decode(incoming.database);
  const key = byteText.decode(incoming.key);
  const admission = admissions.admit(view(), database, key);
  if (!admission.admitted) {
    stream.write(dialect.fault(admission.condition, 'access denied'));
    return false;
  }
  connection.client = parts.clients.addSession(stream, sessions.create(nextId(), database, key));
  warmUps.warmUp(connections, view(), admission.database, admission.tenant);
  stream.write(dialect.ready('idle', Option.none));
  return true;
}

/** Handles a message within a session; returns false when the connection must be closed. */
async function reply(parts: ClientParts, client: Client, incoming: ClientMessage): Promise<boolean> {
  const { dialect, clock } = parts.commands;
  if (incoming.kind === 'close') return false;
  if (incoming.kind !== 'query') {
    client.stream.write(dialect.fault('malformed', 'the message cannot be parsed'));
    return false;
  }
  client.awaitsReply = true;
  const replied = await sessionCommands.handle(parts.commands, client.session, incoming);
  client.awaitsReply = false;
  client.idleSince = clock.now();
  client.stream.write(dialect.reply({ ...replied, transactionStatus: sessions.transactionStatus(client.session) }));
  return true;
}

/** The input of a stream, read one chunk ahead, so that it is known whether more has arrived. */
type Input = Readonly<{ read: () => Promise<Option.Option<string>>; hasArrived: () => boolean }>;

function inputOf(stream: Stream): Input {
  let hasArrived = false;
  let ahead = readAhead();

  function readAhead(): Promise<Option.Option<string>> {
    hasArrived = false;
    const chunk = stream.read();
    void chunk.then(function onChunk() {
      hasArrived = true;
    });
    return chunk;
  }

  return {
    read: async function read() {
      const chunk = await ahead;
      if (Option.isSome(chunk)) ahead = readAhead();
      return chunk;
    },
    hasArrived: () => hasArrived,
  };
}

/** Whether a message may be the last of an operation: session values and prepared statements come before what uses them. */
function mayEndOperation(incoming: ClientMessage): boolean {
  if (incoming.kind !== 'query' || Option.isNone(incoming.command)) return false;
  const { kind } = incoming.command.value;
  return kind !== 'set' && kind !== 'prepare' && kind !== 'forget';
}

/** Whether a shutdown may close the session with the reply to this message: nothing else is asked, and no transaction is open. */
function mayClose({ clients }: ClientParts, { client }: Connection, input: Input, last: ClientMessage): boolean {
  if (client === undefined || !clients.isClosedWithReply(client)) return false;
  return Option.isNone(client.session.transaction) && !input.hasArrived() && mayEndOperation(last);
}

/** Reads messages until either side closes the connection. */
async function read(parts: ClientParts, connection: Connection, nextId: () => string): Promise<void> {
  const { clock, dialect, view } = parts.commands;
  const { stream } = connection;
  const { configuration } = view();
  const framer = dialect.framer(Option.isSome(configuration) ? configuration.value.bounds.messageBytes : defaultMessageBytes);
  const input = inputOf(stream);
  for (;;) {
    const chunk = await input.read();
    if (Option.isNone(chunk)) return;
    // A session that is receiving a message is not idle.
    if (connection.client !== undefined) connection.client.idleSince = clock.now();
    const { messages, oversize } = framer.push(chunk.value);
    let last: ClientMessage | undefined;
    for (const message of messages) {
      const incoming = dialect.parseRequest(message);
      last = incoming;
      const { client } = connection;
      const shouldContinue = client === undefined ? open(parts, connection, incoming, nextId) : reply(parts, client, incoming);
      if (!(await shouldContinue)) return;
    }
    if (oversize) {
      stream.write(dialect.fault('oversize', 'the message exceeds the size limit'));
      return;
    }
    if (last !== undefined && !framer.hasPartial() && mayClose(parts, connection, input, last)) return;
  }
}

function create(parts: ClientParts): ClientConnections {
  const { clients, commands } = parts;
  let lastSessionNumber = 0;

  function nextId(): string {
    lastSessionNumber += 1;
    return `s${lastSessionNumber}`;
  }

  async function serve(stream: Stream): Promise<void> {
    const connection: Connection = { stream, client: undefined };
    clients.addConnection(stream);
    await read(parts, connection, nextId);
    const { client } = connection;
    stream.close();
    clients.remove(stream, client);
    if (client !== undefined && Option.isSome(client.session.transaction))
      void transactions.rollback(commands.connections, commands.dialect, client.session.transaction.value);
  }

  return { serve };
}

export const clientConnections = { create } as const;
