/** Clients of the session wire: each opens sessions, works in them and leaves, all at random (design 10.3). */
import type { Kernel } from '@stallstall/kernel';
import { sessionLedger, type SessionLedger } from './session-ledger.js';
import { sessionLines } from './session-line.js';
import { sessionWorkload, type ClientSession, type SessionDatabase, type WorkloadParts } from './session-workload.js';

export type { SessionAsk, SessionLedger, SessionOpening, SessionTry } from './session-ledger.js';
export type { SessionLine } from './session-line.js';
export type { SessionDatabase } from './session-workload.js';

export type SessionSenderSettings = Readonly<{
  sessions: number;
  /** Between two operations of a session. */
  thinkMilliseconds: number;
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

type Sender = Readonly<{ parts: WorkloadParts; settings: SessionSenderSettings; stopped: () => boolean }>;

function chance({ parts }: Sender, share: number): boolean {
  return parts.kernel.randomness.fraction() < share;
}

function pick<Item>({ parts }: Sender, items: readonly Item[]): Item | undefined {
  return items[Math.floor(parts.kernel.randomness.fraction() * items.length)];
}

/** Opens a session at some edge, to some database, with some key; undefined when there is none. */
async function open(sender: Sender): Promise<ClientSession | undefined> {
  const { parts, settings } = sender;
  const { kernel, ledger } = parts;
  const edge = pick(sender, settings.edges());
  const database = pick(sender, settings.databases());
  const key = pick(sender, settings.keys());
  if (edge === undefined || database === undefined || key === undefined) return undefined;
  const at = kernel.clock.now();
  const opened = await sessionLines.open(kernel, edge.address, database.database, key);
  ledger.openings.push({
    at,
    endedAt: kernel.clock.now(),
    edge: edge.edge,
    database: database.database,
    who: key,
    outcome: 'line' in opened ? 'open' : opened.outcome,
  });
  if (!('line' in opened)) return undefined;
  return { name: `n${parts.nextNumber()}`, line: opened.line, database, key, edge: edge.edge, values: new Map(), prepared: new Map() };
}

/** Works in one session until it ends. */
async function runSession(sender: Sender): Promise<void> {
  const { parts, settings, stopped } = sender;
  const session = await open(sender);
  if (session === undefined) return;
  const { clock, randomness } = parts.kernel;
  const brief = chance(sender, briefShare);
  while (!stopped() && !session.line.closed()) {
    if (chance(sender, furnishShare) && !(await sessionWorkload.furnish(parts, session))) break;
    const work = chance(sender, transactionShare) ? sessionWorkload.transaction : sessionWorkload.single;
    if (!(await work(parts, session))) break;
    if (brief || chance(sender, leavingShare)) break;
    await clock.sleep(settings.thinkMilliseconds * (0.2 + 1.6 * randomness.fraction()));
  }
  if (!session.line.closed()) session.line.close();
}

async function runSessions(sender: Sender): Promise<void> {
  const { clock, randomness } = sender.parts.kernel;
  await clock.sleep(randomness.fraction() * sender.settings.thinkMilliseconds);
  while (!sender.stopped()) {
    await runSession(sender);
    await clock.sleep(50 + randomness.fraction() * 200);
  }
}

/** Starts as many clients as the settings say. */
function start(kernel: Kernel, settings: SessionSenderSettings, ledger: SessionLedger): Readonly<{ stop: () => void }> {
  let stopped = false;
  let lastNumber = 0;
  const parts: WorkloadParts = {
    kernel,
    ledger,
    nextNumber: function nextNumber() {
      lastNumber += 1;
      return lastNumber;
    },
    longRestMilliseconds: settings.longRestMilliseconds,
  };
  for (let index = 0; index < settings.sessions; index += 1) void runSessions({ parts, settings, stopped: () => stopped });
  return {
    stop: function stop() {
      stopped = true;
    },
  };
}

export const sessionSender = { start, open: sessionLines.open, emptyLedger: sessionLedger.empty } as const;
