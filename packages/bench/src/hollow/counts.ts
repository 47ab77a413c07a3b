/** What a process of a hollow run spends: frames counted at its network, the rest read from /proc by the run that started it. */
import fs from 'node:fs';
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import type { Kernel, Link } from '@stallstall/kernel';

export type Frames = { sent: number; received: number; exchanges: number };

/** Bytes are what it read and wrote, sockets and files alike; `anonymous` is memory of its own, without the runtime's mapped file. */
export type Spent = Readonly<{
  processorMilliseconds: number;
  readBytes: number;
  writtenBytes: number;
  diskBytes: number;
  reads: number;
  writes: number;
  residentKilobytes: number;
  peakKilobytes: number;
  anonymousKilobytes: number;
}>;

function countedLink(link: Link, frames: Frames): Link {
  return {
    close: link.close,
    send: function send(message) {
      frames.sent += 1;
      link.send(message);
    },
    reset: link.reset,
    receive: async function receive() {
      const message = await link.receive();
      if (Option.isSome(message)) frames.received += 1;
      return message;
    },
  };
}

/** The same kernel, with its links and the HTTP exchanges it serves counted. */
function counted(kernel: Kernel, frames: Frames): Kernel {
  const { network } = kernel;
  return {
    ...kernel,
    network: {
      ...network,
      listen: (address, greet) => network.listen(address, (link) => greet(countedLink(link, frames))),
      open: async function open(address) {
        const opened = await network.open(address);
        return Either.isRight(opened) ? Either.right(countedLink(opened.right, frames)) : opened;
      },
      serve: (address, server) =>
        network.serve(address, {
          ...server,
          routes: server.routes.map((mapping) => ({
            ...mapping,
            handle: function handle(request) {
              frames.exchanges += 1;
              return mapping.handle(request);
            },
          })),
        }),
    },
  };
}

function numbers(file: string): ReadonlyMap<string, number> {
  const lines = fs.readFileSync(file, 'utf8').split('\n');
  return new Map(
    lines.flatMap((line) => {
      const found = /^(\w+):\s+(\d+)/.exec(line);
      return found === null ? [] : [[found[1] as string, Number(found[2])] as const];
    }),
  );
}

const millisecondsPerTick = 10;

/** Processor time to the nanosecond where the kernel tells it, else by ticks. */
function processorMilliseconds(identifier: number): number {
  const tasks = fs.readdirSync(`/proc/${identifier}/task`);
  const nanoseconds = tasks.reduce(
    (sum, task) => sum + Number(fs.readFileSync(`/proc/${identifier}/task/${task}/schedstat`, 'utf8').split(' ')[0]),
    0,
  );
  if (nanoseconds > 0) return nanoseconds / 1e6;
  const stat = fs.readFileSync(`/proc/${identifier}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * millisecondsPerTick;
}

function spent(identifier: number): Spent {
  const traffic = numbers(`/proc/${identifier}/io`);
  const status = numbers(`/proc/${identifier}/status`);
  return {
    processorMilliseconds: processorMilliseconds(identifier),
    readBytes: traffic.get('rchar') ?? 0,
    writtenBytes: traffic.get('wchar') ?? 0,
    diskBytes: traffic.get('write_bytes') ?? 0,
    reads: traffic.get('syscr') ?? 0,
    writes: traffic.get('syscw') ?? 0,
    residentKilobytes: status.get('VmRSS') ?? 0,
    peakKilobytes: status.get('VmHWM') ?? 0,
    anonymousKilobytes: status.get('RssAnon') ?? 0,
  };
}

export const counts = { counted, spent } as const;
