/** Clients of the session wire: each opens sessions, works in them and leaves, all at random (design 10.3). */
import type { Runtime } from '@stallstall/kernel';
import { sessionLedger, type SessionLedger } from './session-ledger.js';
import { sessionLines } from './session-line.js';
import { sessionWorkload, type ClientSession, type SessionDatabase, type WorkloadParts } from './session-workload.js';

export type { SessionAsk, SessionLedger, SessionOpening, SessionTry } from './session-ledger.js';
export type { SessionLine } from './session-line.js';
export type { SessionDatabase } from './session-workload.js';

export type SessionClientSettings = Readonly<{
  sessions: number;
  /** Between two operations of a session. */
  thinkMilliseconds: number;
  /** Sessions beside these that are in steady use: they rest much shorter between operations. */
  steady?: Readonly<{ sessions: number; thinkMilliseconds: number }>;
  edges: () => ReadonlyArray<Readonly<{ edge: string; address: string }>>;
  /** Asked at every opening. */
  databases: () => readonly SessionDatabase[];
  keys: () => readonly string[];
  /** Longer than a transaction may be idle. */
  longRestMilliseconds: number;
}>;

/** Shares of what clients do. */
const briefShare = 0.2;
const furnishShare = 0.15;
const transactionShare = 0.35;
const leavingShare = 0.02;

type Client = Readonly<{ parts: WorkloadParts; settings: SessionClientSettings; stopped: () => boolean }>;

function chance({ parts }: Client, share: number): boolean {
  return parts.runtime.randomness.fraction() < share;
}

function pick<Item>({ parts }: Client, items: readonly Item[]): Item | undefined {
  return items[Math.floor(parts.runtime.randomness.fraction() * items.length)];
}

/** Opens a session at some edge, to some database, with some key; undefined when there is none. */
async function open(client: Client): Promise<ClientSession | undefined> {
  const { parts, settings } = client;
  const { runtime, ledger } = parts;
  const edge = pick(client, settings.edges());
  const database = pick(client, settings.databases());
  const key = pick(client, settings.keys());
  if (edge === undefined || database === undefined || key === undefined) return undefined;
  const at = runtime.clock.now();
  const opened = await sessionLines.open(runtime, edge.address, database.database, key);
  ledger.openings.push({
    at,
    endedAt: runtime.clock.now(),
    edge: edge.edge,
    database: database.database,
    who: key,
    outcome: 'line' in opened ? 'open' : opened.outcome,
  });
  if (!('line' in opened)) return undefined;
  return { name: `n${parts.nextNumber()}`, line: opened.line, database, key, edge: edge.edge, values: new Map(), prepared: new Map() };
}

/** Works in one session until it ends. */
async function runSession(client: Client): Promise<void> {
  const { parts, settings, stopped } = client;
  const session = await open(client);
  if (session === undefined) return;
  const { clock, randomness } = parts.runtime;
  const brief = chance(client, briefShare);
  while (!stopped() && !session.line.closed()) {
    if (chance(client, furnishShare) && !(await sessionWorkload.furnish(parts, session))) break;
    const work = chance(client, transactionShare) ? sessionWorkload.transaction : sessionWorkload.single;
    if (!(await work(parts, session))) break;
    if (brief || chance(client, leavingShare)) break;
    await clock.sleep(settings.thinkMilliseconds * (0.2 + 1.6 * randomness.fraction()));
  }
  if (!session.line.closed()) session.line.close();
}

async function runSessions(client: Client): Promise<void> {
  const { clock, randomness } = client.parts.runtime;
  await clock.sleep(randomness.fraction() * client.settings.thinkMilliseconds);
  while (!client.stopped()) {
    await runSession(client);
    await clock.sleep(50 + randomness.fraction() * 200);
  }
}

/** Starts as many clients as the settings say. */
function start(runtime: Runtime, settings: SessionClientSettings, ledger: SessionLedger): Readonly<{ stop: () => void }> {
  let stopped = false;
  let lastNumber = 0;
  const parts: WorkloadParts = {
    runtime,
    ledger,
    nextNumber: function nextNumber() {
      lastNumber += 1;
      return lastNumber;
    },
    longRestMilliseconds: settings.longRestMilliseconds,
  };
  function run(count: number, ofThese: SessionClientSettings): void {
    for (let index = 0; index < count; index += 1) void runSessions({ parts, settings: ofThese, stopped: () => stopped });
  }
  run(settings.sessions, settings);
  if (settings.steady !== undefined) run(settings.steady.sessions, { ...settings, ...settings.steady });
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const sessionClient = { start, open: sessionLines.open, emptyLedger: sessionLedger.empty } as const;
