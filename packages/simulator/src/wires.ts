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
export type Troubles = Readonly<{ duplicate: number; delay: number; cut: number; reset: number; split: number }>;

export type WireReport = Readonly<{
  /** What was asked, replied and carried out. */
  asked: number;
  replied: number;
  carriedOut: number;
  violations: readonly string[];
}>;

const address = identifiers.address('10.5.0.1:7000');
const callMilliseconds = 100;
/** Beyond the time-out of a call, so that replies come late. */
const mostDelayMilliseconds = 250;
const linkCalls = 120;
const lineQueries = 120;
const restMilliseconds = 15;
const runMilliseconds = 60_000;

/** Sends in order, whatever the delays are; a cut swallows all that follows. */
function lane(runtime: Runtime, troubles: Troubles): Readonly<{ put: (deliver: () => void) => void; cut: () => boolean }> {
  const queue: Array<() => void> = [];
  let busy = false;
  let isCut = false;

  function next(): void {
    const deliver = queue.shift();
    if (deliver === undefined) {
      busy = false;
      return;
    }
    busy = true;
    const wait = runtime.randomness.fraction() < troubles.delay ? runtime.randomness.fraction() * mostDelayMilliseconds : 0;
    runtime.clock.startTimer(wait, function due() {
      if (!isCut) deliver();
      next();
    });
  }

  return {
    put: function put(deliver) {
      if (runtime.randomness.fraction() < troubles.cut) isCut = true;
      queue.push(deliver);
      if (!busy) next();
    },
    cut: () => isCut,
  };
}

function troubledLink(runtime: Runtime, troubles: Troubles, link: Link): Link {
  const { put } = lane(runtime, troubles);
  return {
    ...link,
    send: function send(message) {
      if (runtime.randomness.fraction() < troubles.reset) link.reset();
      put(() => link.send(message));
      if (runtime.randomness.fraction() < troubles.duplicate) put(() => link.send(message));
    },
  };
}

/** Text leaves in pieces cut between any two bytes, each with a delay of its own; a reset may come between two of them. */
function troubledStream(runtime: Runtime, troubles: Troubles, stream: Stream): Stream {
  const { put } = lane(runtime, troubles);

  function pieces(text: string): readonly string[] {
    if (text.length < 2 || runtime.randomness.fraction() >= troubles.split) return [text];
    const at = 1 + Math.floor(runtime.randomness.fraction() * (text.length - 1));
    return [text.slice(0, at), ...pieces(text.slice(at))];
  }

  return {
    ...stream,
    write: function write(text) {
      for (const piece of pieces(text)) {
        put(() => stream.write(piece));
        if (runtime.randomness.fraction() < troubles.reset) put(stream.reset);
      }
    },
  };
}

/** A runtime whose own sending goes through the troubles, both as who opens a connection and as who listens. */
function troubled(runtime: Runtime, troubles: Troubles): Runtime {
  const network: Network = {
    ...runtime.network,
    listen: (at, greet) => runtime.network.listen(at, (link) => greet(troubledLink(runtime, troubles, link))),
    open: async function open(at) {
      const opened = await runtime.network.open(at);
      return Either.isLeft(opened) ? opened : Either.right(troubledLink(runtime, troubles, opened.right));
    },
    listenStream: (at, greet) => runtime.network.listenStream(at, (stream) => greet(troubledStream(runtime, troubles, stream))),
    openStream: async function openStream(at, milliseconds) {
      const opened = await runtime.network.openStream(at, milliseconds);
      return Either.isLeft(opened) ? opened : Either.right(troubledStream(runtime, troubles, opened.right));
    },
  };
  return { ...runtime, network };
}

/** Counts how often each thing was carried out, and says which was twice. */
function effects(): Readonly<{ add: (name: string) => void; total: () => number; twice: () => readonly string[] }> {
  const counts = new Map<string, number>();
  return {
    add: (name) => void counts.set(name, (counts.get(name) ?? 0) + 1),
    total: () => [...counts.values()].reduce((sum, count) => sum + count, 0),
    twice: () => [...counts].filter(([, count]) => count > 1).map(([name, count]) => `${name} was carried out ${count} times`),
  };
}

async function drive(world: World, work: Promise<unknown>): Promise<void> {
  let done = false;
  void work.then(() => {
    done = true;
  });
  for (let spent = 0; !done && spent < runMilliseconds; spent += 50) await world.run(50);
}

/** Calls between two processes of ours: several at once on one link. */
async function links(seed: number, troubles: Troubles): Promise<WireReport> {
  const world = worlds.create(seed);
  const near = troubled(world.spawn('near', 'near-machine').runtime, troubles);
  const far = troubled(world.spawn('far', 'far-machine').runtime, troubles);
  const done = effects();
  const violations: string[] = [];
  let replied = 0;
  await peer.listen(far, address, {
    usageLook: async function look(ask) {
      done.add(`call ${ask.window}`);
      await far.clock.sleep(far.randomness.fraction() * 2 * restMilliseconds);
      return { ready: true, reports: [], through: { owner: ask.window } };
    },
  });
  const dialled = peer.dial(near, address);

  async function ask(window: number): Promise<void> {
    const reply = await dialled.call('usageLook', { window }, callMilliseconds);
    if (Option.isNone(reply)) return;
    replied += 1;
    const owner = reply.value.through['owner'];
    if (owner !== window) violations.push(`call ${window} was given the reply of call ${owner}`);
  }

  async function askAll(): Promise<void> {
    for (let window = 1; window <= linkCalls; window += 1) {
      void ask(window);
      await near.clock.sleep(near.randomness.fraction() * 2 * restMilliseconds);
    }
    await near.clock.sleep(10 * callMilliseconds);
  }

  await drive(world, askAll());
  dialled.close();
  return { asked: linkCalls, replied, carriedOut: done.total(), violations: [...violations, ...done.twice()] };
}

/** A member in plain words: what it is asked it names in its reply; at times it says that it rests once more than it should. */
async function listenAsMember(runtime: Runtime, troubles: Troubles, carriedOut: (identifier: string) => void): Promise<void> {
  async function task(stream: Stream): Promise<void> {
    const framer = plainDialect.framer(10_000);
    for (;;) {
      const piece = await stream.read();
      if (Option.isNone(piece)) return;
      for (const message of framer.push(piece.value).messages) {
        const incoming = plainDialect.parseRequest(message);
        if (incoming.kind === 'open') stream.write(plainDialect.ready('idle', Option.none));
        if (incoming.kind === 'open' && runtime.randomness.fraction() < troubles.duplicate)
          stream.write(plainDialect.ready('idle', Option.none));
        if (incoming.kind !== 'query') continue;
        carriedOut(incoming.identifier);
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
  await runtime.network.listenStream(address, (stream) => void task(stream));
}

/** Queries over a line to a member, one after the other; the next line is opened once one is of no use any more. */
async function memberLines(seed: number, troubles: Troubles): Promise<WireReport> {
  const world = worlds.create(seed);
  const near = troubled(world.spawn('near', 'near-machine').runtime, troubles);
  const far = troubled(world.spawn('far', 'far-machine').runtime, troubles);
  const done = effects();
  const violations: string[] = [];
  let replied = 0;
  await listenAsMember(far, troubles, (identifier) => done.add(`query ${identifier}`));

  async function opened(): Promise<MemberConnection | undefined> {
    const line = await memberConnection.open(
      near,
      plainDialect,
      { service: 'ferries', member: 'member-1', address },
      'tenant',
      4 * callMilliseconds,
    );
    return Either.isRight(line) ? line.right : undefined;
  }

  async function ask(line: MemberConnection, identifier: string): Promise<void> {
    const ran = await line.run([plainDialect.query(identifier, 'get x')], callMilliseconds);
    const reply = ran.replies[0];
    if (!ran.isComplete) {
      if (!line.isClosed()) violations.push(`the line of ${identifier} is used again with its question open`);
      return;
    }
    replied += 1;
    const owner = reply?.completion.kind === 'done' ? reply.completion.stamp : 'a fault';
    if (owner !== identifier || reply?.rows.join() !== `row ${identifier}`)
      violations.push(`query ${identifier} was given the reply of ${owner}, rows ${reply?.rows.join()}`);
  }

  async function askAll(): Promise<void> {
    let line: MemberConnection | undefined;
    for (let number = 1; number <= lineQueries; number += 1) {
      if (line === undefined || line.isClosed()) line = await opened();
      if (line !== undefined) await ask(line, `q${number}`);
      await near.clock.sleep(near.randomness.fraction() * restMilliseconds);
    }
  }

  await drive(world, askAll());
  return { asked: lineQueries, replied, carriedOut: done.total(), violations: [...violations, ...done.twice()] };
}

/** Seeds differ in which troubles come, and how often. */
function troublesOf(seed: number): Troubles {
  const { fraction } = worlds.create(seed);
  function some(most: number): number {
    return fraction() < 0.3 ? 0 : fraction() * most;
  }
  return { duplicate: some(0.2), delay: some(0.3), cut: some(0.01), reset: some(0.02), split: some(0.9) };
}

export const wires = { links, memberLines, troublesOf } as const;
