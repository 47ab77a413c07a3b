/** A host of stand-ins within the soak's own process: one that is stopped does, hears and says nothing any more, as a killed process does. */
import * as Either from 'fp-ts/lib/Either.js';
import { fault, type Runtime, type Listener, type Stream } from '@stallstall/kernel';

export type StandInHost = Readonly<{ runtime: Runtime; stop: () => Promise<void> }>;

/** Closed ones are forgotten once there are more. */
const streamsKept = 1_000;

function create(base: Runtime): StandInHost {
  const listening = new Set<Listener>();
  const streams = new Set<Stream>();
  let isStopped = false;

  function track(stream: Stream): Stream {
    if (isStopped) stream.reset();
    else streams.add(stream);
    if (streams.size > streamsKept) for (const known of streams) if (known.closed()) streams.delete(known);
    return stream;
  }

  async function keep(opening: Promise<Listener>): Promise<Listener> {
    const opened = await opening;
    listening.add(opened);
    return opened;
  }

  const runtime: Runtime = {
    ...base,
    clock: {
      ...base.clock,
      startTimer: (milliseconds, action) => base.clock.startTimer(milliseconds, () => void (!isStopped && action())),
      sleep: (milliseconds) => new Promise((resolve) => base.clock.startTimer(milliseconds, () => void (!isStopped && resolve()))),
    },
    network: {
      ...base.network,
      listenStream: (address, onStream) =>
        keep(base.network.listenStream(address, (stream) => void (isStopped ? stream.reset() : onStream(track(stream))))),
      openStream: async function openStream(address, milliseconds) {
        if (isStopped) return Either.left(fault.create({ kind: 'unreachable', message: 'the host is stopped', remedy: 'start it' }));
        const opened = await base.network.openStream(address, milliseconds);
        return Either.isRight(opened) ? Either.right(track(opened.right)) : opened;
      },
      serve: (address, server) => keep(base.network.serve(address, server)),
    },
  };

  return {
    runtime,
    stop: async function stop() {
      isStopped = true;
      for (const stream of streams) stream.reset();
      await Promise.all([...listening].map((one) => one.stop()));
    },
  };
}

export const standInHost = { create } as const;
