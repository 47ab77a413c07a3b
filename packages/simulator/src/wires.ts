/**
 * A network between two processes that splits, duplicates, delays, cuts and resets, and checkers that see each answer's owner and each
 * effect's count. The production code for links and member lines runs over it (design 8.14).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime, type Link, type Network, type Stream } from '@stallstall/kernel';
import { peer } from '@stallstall/peer';
import { memberConnection, type MemberConnection } from '@stallstall/session-protocol';
import { plainDialect } from '@stallstall/fakes';
import { world as worlds, type World } from './world.js';

/** How often each trouble comes, for each message or piece that is sent. */
export type NetworkFaults = Readonly<{ duplicate: number; delay: number; cut: number; reset: number; split: number }>;

export type WireReport = Readonly<{
  /** What was asked, replied and carried out. */
  requests: number;
  replies: number;
  executions: number;
  violations: readonly string[];
}>;

const address = identifiers.address('10.5.0.1:7000');
const callMilliseconds = 100;
/** Beyond the time-out of a call, so that replies come late. */
const maxDelayMilliseconds = 250;
const linkCallCount = 120;
const memberQueryCount = 120;
const meanPauseMilliseconds = 15;
const maxRunMilliseconds = 60_000;

/** Sends in order, whatever the delays are; a cut swallows all that follows. */
function createFaultyLane(runtime: Runtime, faults: NetworkFaults): Readonly<{ put: (deliver: () => void) => void; cut: () => boolean }> {
  const queue: Array<() => void> = [];
  let busy = false;
  let isCut = false;

  function deliverNext(): void {
    const deliver = queue.shift();
    if (deliver === undefined) {
      busy = false;
      return;
    }
    busy = true;
    const delayMilliseconds = runtime.randomness.fraction() < faults.delay ? runtime.randomness.fraction() * maxDelayMilliseconds : 0;
    runtime.clock.startTimer(delayMilliseconds, function onDelayOver() {
      if (!isCut) deliver();
      deliverNext();
    });
  }

  return {
    put: function put(deliver) {
      if (runtime.randomness.fraction() < faults.cut) isCut = true;
      queue.push(deliver);
      if (!busy) deliverNext();
    },
    cut: () => isCut,
  };
}

function withLinkFaults(runtime: Runtime, faults: NetworkFaults, link: Link): Link {
  const { put } = createFaultyLane(runtime, faults);
  return {
    ...link,
    send: function send(message) {
      if (runtime.randomness.fraction() < faults.reset) link.reset();
      put(() => link.send(message));
      if (runtime.randomness.fraction() < faults.duplicate) put(() => link.send(message));
    },
  };
}

/** Text leaves in pieces cut between any two bytes, each with a delay of its own; a reset may come between two of them. */
function withStreamFaults(runtime: Runtime, faults: NetworkFaults, stream: Stream): Stream {
  const { put } = createFaultyLane(runtime, faults);

  function splitText(text: string): readonly string[] {
    if (text.length < 2 || runtime.randomness.fraction() >= faults.split) return [text];
    const splitIndex = 1 + Math.floor(runtime.randomness.fraction() * (text.length - 1));
    return [text.slice(0, splitIndex), ...splitText(text.slice(splitIndex))];
  }

  return {
    ...stream,
    write: function write(text) {
      for (const piece of splitText(text)) {
        put(() => stream.write(piece));
        if (runtime.randomness.fraction() < faults.reset) put(stream.reset);
      }
    },
  };
}

/** A runtime whose own sending goes through the troubles, both as who opens a connection and as who listens. */
function withNetworkFaults(runtime: Runtime, faults: NetworkFaults): Runtime {
  const network: Network = {
    ...runtime.network,
    listen: (listenAddress, onLink) => runtime.network.listen(listenAddress, (link) => onLink(withLinkFaults(runtime, faults, link))),
    open: async function open(peerAddress) {
      const opened = await runtime.network.open(peerAddress);
      return Either.isLeft(opened) ? opened : Either.right(withLinkFaults(runtime, faults, opened.right));
    },
    listenStream: (listenAddress, onStream) =>
      runtime.network.listenStream(listenAddress, (stream) => onStream(withStreamFaults(runtime, faults, stream))),
    openStream: async function openStream(peerAddress, milliseconds) {
      const opened = await runtime.network.openStream(peerAddress, milliseconds);
      return Either.isLeft(opened) ? opened : Either.right(withStreamFaults(runtime, faults, opened.right));
    },
  };
  return { ...runtime, network };
}

/** Counts how often each thing was carried out, and says which was twice. */
function createExecutionCounter(): Readonly<{ add: (name: string) => void; total: () => number; violations: () => readonly string[] }> {
  const counts = new Map<string, number>();
  return {
    add: (name) => void counts.set(name, (counts.get(name) ?? 0) + 1),
    total: () => [...counts.values()].reduce((sum, count) => sum + count, 0),
    violations: () => [...counts].filter(([, count]) => count > 1).map(([name, count]) => `${name} was carried out ${count} times`),
  };
}

async function runUntilDone(world: World, work: Promise<unknown>): Promise<void> {
  let done = false;
  void work.then(() => {
    done = true;
  });
  for (let elapsed = 0; !done && elapsed < maxRunMilliseconds; elapsed += 50) await world.run(50);
}

/** Calls between two processes of ours: several at once on one link. */
async function testLinks(seed: number, faults: NetworkFaults): Promise<WireReport> {
  const world = worlds.create(seed);
  const client = withNetworkFaults(world.spawn('near', 'near-machine').runtime, faults);
  const server = withNetworkFaults(world.spawn('far', 'far-machine').runtime, faults);
  const executions = createExecutionCounter();
  const violations: string[] = [];
  let replyCount = 0;
  await peer.listen(server, address, {
    usageLook: async function look(request) {
      executions.add(`call ${request.window}`);
      await server.clock.sleep(server.randomness.fraction() * 2 * meanPauseMilliseconds);
      return { ready: true, reports: [], through: { owner: request.window } };
    },
  });
  const connection = peer.dial(client, address);

  async function callWindow(window: number): Promise<void> {
    const reply = await connection.call('usageLook', { window }, callMilliseconds);
    if (Option.isNone(reply)) return;
    replyCount += 1;
    const owner = reply.value.through['owner'];
    if (owner !== window) violations.push(`call ${window} was given the reply of call ${owner}`);
  }

  async function callAll(): Promise<void> {
    for (let window = 1; window <= linkCallCount; window += 1) {
      void callWindow(window);
      await client.clock.sleep(client.randomness.fraction() * 2 * meanPauseMilliseconds);
    }
    await client.clock.sleep(10 * callMilliseconds);
  }

  await runUntilDone(world, callAll());
  connection.close();
  return {
    requests: linkCallCount,
    replies: replyCount,
    executions: executions.total(),
    violations: [...violations, ...executions.violations()],
  };
}

/** A member in plain words: what it is asked it names in its reply; at times it says that it rests once more than it should. */
async function listenAsMember(runtime: Runtime, faults: NetworkFaults, onExecuted: (identifier: string) => void): Promise<void> {
  async function serveStream(stream: Stream): Promise<void> {
    const framer = plainDialect.framer(10_000);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) return;
      for (const message of framer.push(piece.value).messages) {
        const incoming = plainDialect.parseRequest(message);
        if (incoming.kind === 'open') stream.write(plainDialect.ready('idle', Option.none));
        if (incoming.kind === 'open' && runtime.randomness.fraction() < faults.duplicate)
          stream.write(plainDialect.ready('idle', Option.none));
        if (incoming.kind !== 'query') continue;
        onExecuted(incoming.identifier);
        const { identifier } = incoming;
        const reply = plainDialect.reply({
          rows: [`row ${identifier}`],
          completion: { kind: 'done', stamp: identifier },
          transactionStatus: 'idle',
          position: Option.none,
        });
        stream.write(reply);
      }
    }
  }
  await runtime.network.listenStream(address, (stream) => void serveStream(stream));
}

/** Queries over a line to a member, one after the other; the next line is opened once one is of no use any more. */
async function testMemberConnections(seed: number, faults: NetworkFaults): Promise<WireReport> {
  const world = worlds.create(seed);
  const client = withNetworkFaults(world.spawn('near', 'near-machine').runtime, faults);
  const server = withNetworkFaults(world.spawn('far', 'far-machine').runtime, faults);
  const executions = createExecutionCounter();
  const violations: string[] = [];
  let replyCount = 0;
  await listenAsMember(server, faults, (identifier) => executions.add(`query ${identifier}`));

  async function openConnection(): Promise<MemberConnection | undefined> {
    const opened = await memberConnection.open(
      client,
      plainDialect,
      { service: 'ferries', member: 'member-1', address },
      'tenant',
      4 * callMilliseconds,
    );
    return Either.isRight(opened) ? opened.right : undefined;
  }

  async function runQuery(connection: MemberConnection, identifier: string): Promise<void> {
    const result = await connection.run([plainDialect.query(identifier, 'get x')], callMilliseconds);
    const reply = result.replies[0];
    if (!result.isComplete) {
      if (!connection.isClosed()) violations.push(`the line of ${identifier} is used again with its question open`);
      return;
    }
    replyCount += 1;
    const owner = reply?.completion.kind === 'done' ? reply.completion.stamp : 'a fault';
    if (owner !== identifier || reply?.rows.join() !== `row ${identifier}`)
      violations.push(`query ${identifier} was given the reply of ${owner}, rows ${reply?.rows.join()}`);
  }

  async function runAllQueries(): Promise<void> {
    let connection: MemberConnection | undefined;
    for (let number = 1; number <= memberQueryCount; number += 1) {
      if (connection === undefined || connection.isClosed()) connection = await openConnection();
      if (connection !== undefined) await runQuery(connection, `q${number}`);
      await client.clock.sleep(client.randomness.fraction() * meanPauseMilliseconds);
    }
  }

  await runUntilDone(world, runAllQueries());
  return {
    requests: memberQueryCount,
    replies: replyCount,
    executions: executions.total(),
    violations: [...violations, ...executions.violations()],
  };
}

/** Seeds differ in which troubles come, and how often. */
function faultsForSeed(seed: number): NetworkFaults {
  const { fraction } = worlds.create(seed);
  function drawRate(maximum: number): number {
    return fraction() < 0.3 ? 0 : fraction() * maximum;
  }
  return { duplicate: drawRate(0.2), delay: drawRate(0.3), cut: drawRate(0.01), reset: drawRate(0.02), split: drawRate(0.9) };
}

export const wires = { testLinks, testMemberConnections, faultsForSeed } as const;
