/** Hollow senders: sessions that stand open, and statements asked at a fixed rate over them. */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { identifiers, type Kernel, type Stream } from '@stallstall/kernel';
import type { HollowAsk, HollowRole } from './roles.js';

type SendersRole = Extract<HollowRole, { role: 'senders' }>;
type Sender = { readonly stream: Stream; busy: boolean; askedAt: number };

export type Senders = Readonly<{ reply: (ask: HollowAsk) => Readonly<Record<string, number>> }>;

const openMilliseconds = 2_000;
const stepMilliseconds = 10;
const openAtOnce = 20;

async function start(kernel: Kernel, settings: SendersRole): Promise<Senders> {
  const senders: Sender[] = [];
  const waits: number[] = [];
  let done = 0;
  let faults = 0;
  let skipped = 0;
  let next = 0;
  let owed = 0;

  async function read(sender: Sender): Promise<void> {
    let rest = '';
    for (;;) {
      const piece = await sender.stream.read();
      if (Option.isNone(piece)) break;
      const messages = (rest + piece.value).split('\n');
      rest = messages.pop() ?? '';
      for (const message of messages) {
        if (message.startsWith('done ')) done += 1;
        else if (message.startsWith('fault ')) faults += 1;
        else if (message.startsWith('rest ') && sender.busy) {
          sender.busy = false;
          waits.push(kernel.clock.now() - sender.askedAt);
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
    const sender: Sender = { stream: opened.right, busy: false, askedAt: 0 };
    sender.stream.write(`open database-${(index % settings.services) + 1} hollow-key-1\n`);
    senders.push(sender);
    void read(sender);
  }

  function step(): void {
    owed += (settings.statements * stepMilliseconds) / 1_000;
    for (; owed >= 1; owed -= 1) {
      next += 1;
      const sender = senders[next % Math.max(1, senders.length)];
      if (sender === undefined || sender.busy) {
        skipped += 1;
        continue;
      }
      sender.busy = true;
      sender.askedAt = kernel.clock.now();
      sender.stream.write(`query ${next} ${next % 4 === 0 ? 'write' : 'read'} ${next} some words of a statement\n`);
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
        sessions: senders.filter((sender) => !sender.stream.closed()).length,
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

export const hollowSenders = { start } as const;
