/** Hollow senders: sessions that stand open, and statements asked at a fixed rate over them. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Kernel, type Stream } from '@stallstall/kernel';
import type { HollowAsk, HollowRole } from './roles.js';

type ClientsRole = Extract<HollowRole, { role: 'senders' }>;
type Client = { readonly stream: Stream; busy: boolean; askedAt: number };

export type Clients = Readonly<{ reply: (ask: HollowAsk) => Readonly<Record<string, number>> }>;

const openMilliseconds = 2_000;
const stepMilliseconds = 10;
const openAtOnce = 20;

async function start(kernel: Kernel, settings: ClientsRole): Promise<Clients> {
  const clients: Client[] = [];
  const waits: number[] = [];
  let done = 0;
  let faults = 0;
  let skipped = 0;
  let next = 0;
  let owed = 0;

  async function read(client: Client): Promise<void> {
    let rest = '';
    for (;;) {
      const piece = await client.stream.read();
      if (Option.isNone(piece)) break;
      const messages = (rest + piece.value).split('\n');
      rest = messages.pop() ?? '';
      for (const message of messages) {
        if (message.startsWith('done ')) done += 1;
        else if (message.startsWith('fault ')) faults += 1;
        else if (message.startsWith('rest ') && client.busy) {
          client.busy = false;
          waits.push(kernel.clock.now() - client.askedAt);
        }
      }
    }
  }

  async function open(index: number): Promise<void> {
    const opened = await kernel.network.openStream(
      identifiers.address(settings.proxies[index % settings.proxies.length] as string),
      openMilliseconds,
    );
    if (Either.isLeft(opened)) return;
    const client: Client = { stream: opened.right, busy: false, askedAt: 0 };
    client.stream.write(`open database-${(index % settings.services) + 1} hollow-key-1\n`);
    clients.push(client);
    void read(client);
  }

  function step(): void {
    owed += (settings.statements * stepMilliseconds) / 1_000;
    for (; owed >= 1; owed -= 1) {
      next += 1;
      const client = clients[next % Math.max(1, clients.length)];
      if (client === undefined || client.busy) {
        skipped += 1;
        continue;
      }
      client.busy = true;
      client.askedAt = kernel.clock.now();
      client.stream.write(`query ${next} ${next % 4 === 0 ? 'write' : 'read'} ${next} some words of a statement\n`);
    }
  }

  async function steps(): Promise<void> {
    for (let due = kernel.clock.now() + stepMilliseconds; ; due += stepMilliseconds) {
      step();
      await kernel.clock.sleep(Math.max(0, due - kernel.clock.now()));
    }
  }

  for (let index = 0; index < settings.sessions; index += openAtOnce) {
    await Promise.all(Array.from({ length: Math.min(openAtOnce, settings.sessions - index) }, (_, one) => open(index + one)));
  }
  if (settings.statements > 0) void steps();

  return {
    reply: function reply(_ask) {
      const sorted = waits.splice(0).sort((left, right) => left - right);
      const values = {
        sessions: clients.filter((client) => !client.stream.closed()).length,
        done,
        faults,
        skipped,
        middle: sorted[Math.floor(sorted.length / 2)] ?? 0,
        late: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      };
      done = 0;
      faults = 0;
      skipped = 0;
      return values;
    },
  };
}

export const hollowClients = { start } as const;
