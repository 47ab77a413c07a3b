/** One task for each client's connection: opens its session, then replies to its queries one after another. */
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Stream } from '@stallstall/kernel';
import type { ClientMessage } from '@stallstall/session-protocol';
import { admissions } from './admission.js';
import type { Client, Clients } from './client-table.js';
import { sessionCommands, type CommandParts } from './session-commands.js';
import { sessions } from './sessions.js';
import { transactions } from './transactions.js';
import { warmUps } from './warm-up.js';

export type ClientParts = Readonly<{ commands: CommandParts; clients: Clients; stopped: () => boolean }>;

export type ClientConnections = Readonly<{ serve: (stream: Stream) => Promise<void> }>;

/** A client that connects before the placement is known is held for so long: it gives up after two seconds. */
const placementWaitMilliseconds = 1_800;
const placementPollMilliseconds = 25;
/** The longest message while no configuration states one. */
const defaultMessageBytes = 1_048_576;

async function awaitPlacement({ commands, stopped }: ClientParts): Promise<void> {
  const { clock, view } = commands;
  const deadline = identifiers.after(clock.now(), placementWaitMilliseconds);
  while (!stopped() && Option.isNone(view().configuration) && clock.now() < deadline) await clock.sleep(placementPollMilliseconds);
}

/** A client's connection; its session is opened by the first message. */
type Connection = { readonly stream: Stream; client: Client | undefined };

/** The first message of a connection; false when the connection is to be closed. */
async function open(parts: ClientParts, connection: Connection, incoming: ClientMessage, nextId: () => string): Promise<boolean> {
  const { dialect, view, connections } = parts.commands;
  const { stream } = connection;
  if (incoming.kind !== 'open') {
    if (incoming.kind !== 'close') stream.write(dialect.fault('malformed', 'a session begins with its opening'));
    return false;
  }
  await awaitPlacement(parts);
  if (Option.isNone(view().configuration)) {
    stream.write(dialect.fault('saturated', 'nothing is known yet; come back in 500 ms'));
    return false;
  }
  const admission = admissions.admit(view(), incoming.database, incoming.key);
  if (!admission.admitted) {
    stream.write(dialect.fault(admission.condition, 'not let in'));
    return false;
  }
  connection.client = parts.clients.addSession(stream, sessions.create(nextId(), incoming.database, incoming.key));
  warmUps.warmUp(connections, view(), admission.database, admission.tenant);
  stream.write(dialect.ready('idle', Option.none));
  return true;
}

/** A message within a session; false when the connection is to be closed. */
async function reply(parts: ClientParts, client: Client, incoming: ClientMessage): Promise<boolean> {
  const { dialect, clock } = parts.commands;
  if (incoming.kind === 'close') return false;
  if (incoming.kind !== 'query') {
    client.stream.write(dialect.fault('malformed', 'it cannot be read'));
    return false;
  }
  client.awaitsReply = true;
  const replied = await sessionCommands.handle(parts.commands, client.session, incoming);
  client.awaitsReply = false;
  client.idleSince = clock.now();
  client.stream.write(dialect.reply({ ...replied, transactionStatus: sessions.transactionStatus(client.session) }));
  return true;
}

/** Reads until the client, or this side, ends the connection. */
async function read(parts: ClientParts, connection: Connection, nextId: () => string): Promise<void> {
  const { dialect, view } = parts.commands;
  const { stream } = connection;
  const { configuration } = view();
  const framer = dialect.framer(Option.isSome(configuration) ? configuration.value.bounds.messageBytes : defaultMessageBytes);
  for (;;) {
    const piece = await stream.read();
    if (Option.isNone(piece)) return;
    const { messages, oversize } = framer.push(piece.value);
    for (const message of messages) {
      const incoming = dialect.parseRequest(message);
      const { client } = connection;
      const goesOn = client === undefined ? open(parts, connection, incoming, nextId) : reply(parts, client, incoming);
      if (!(await goesOn)) return;
    }
    if (oversize) {
      stream.write(dialect.fault('oversize', 'the message is too long'));
      return;
    }
  }
}

function create(parts: ClientParts): ClientConnections {
  const { clients, commands } = parts;
  let lastSession = 0;

  function nextId(): string {
    lastSession += 1;
    return `s${lastSession}`;
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
