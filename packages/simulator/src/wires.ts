/**
 * Tests the production code for links and member connections over a network that splits, duplicates and delays data, and cuts and resets
 * connections. Checks that each reply belongs to its request and that no request is executed twice (design 8.14).
 */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Runtime, type Link, type Network, type Stream } from '@stallstall/kernel';
import { peer } from '@stallstall/peer';
import { memberConnection, type MemberConnection } from '@stallstall/session-protocol';
import { plainDialect } from '@stallstall/fakes';
import { world as worlds, type World } from './world.js';

/** Probability of each network fault, per message or piece of text sent. */
export type NetworkFaults = Readonly<{ duplicate: number; delay: number; cut: number; reset: number; split: number }>;

export type WireReport = Readonly<{
  requests: number;
  replies: number;
  executions: number;
  violations: readonly string[];
}>;

const address = identifiers.address('10.5.0.1:7000');
const callMilliseconds = 100;
/** Longer than the timeout of a call, so that some replies arrive late. */
const maxDelayMilliseconds = 250;
const linkCallCount = 120;
const memberQueryCount = 120;
const meanPauseMilliseconds = 15;
const maxRunMilliseconds = 60_000;

/** One direction of a connection: delivers in order, whatever the delays. After a cut nothing more is delivered. */
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

/** Splits written text at random positions into pieces, each with its own delay. A reset may follow any piece. */
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

/** Wraps a runtime so that network faults apply to everything it sends, on the connections it opens and on those it accepts. */
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

/** Counts the executions of each request and reports those executed more than once. */
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

/** Concurrent calls between two processes over one link. */
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

/** Runs a member that speaks the plain dialect. Its replies name their query; at times it sends a duplicate idle message. */
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

/** Sequential queries over a member connection. A new connection is opened once the current one is closed. */
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
      if (!connection.isClosed()) violations.push(`the connection of ${identifier} stays open although its query is incomplete`);
      return;
    }
    replyCount += 1;
    const owner = reply?.completion.kind === 'done' ? reply.completion.stamp : 'an error reply';
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

/** Draws from the seed which network faults occur and how often. */
function faultsForSeed(seed: number): NetworkFaults {
  const { fraction } = worlds.create(seed);
  function drawRate(maximum: number): number {
    return fraction() < 0.3 ? 0 : fraction() * maximum;
  }
  return { duplicate: drawRate(0.2), delay: drawRate(0.3), cut: drawRate(0.01), reset: drawRate(0.02), split: drawRate(0.9) };
}

export const wires = { testLinks, testMemberConnections, faultsForSeed } as const;
