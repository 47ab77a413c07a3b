/** Incarnation numbers: a restarted node gets the next number from the register (design 4.1). */
import * as Either from 'fp-ts/lib/Either.js';
import * as Option from 'fp-ts/lib/Option.js';
import { fault, type Fault } from '@stallstall/kernel';
import type { Register } from '@stallstall/register';
import type { NodeContext } from './node-context.js';

/** @internal */
export type Incarnations = Readonly<{
  /** This process's incarnation; 0 until the register has assigned it. */
  own: () => number;
  /** Records the incarnation of a node; true if a later one is already known. */
  isSuperseded: (node: string, incarnation: number) => boolean;
  /** Resolves once this process has its number, is superseded or has stopped. */
  acquire: () => Promise<void>;
  /** The reason to end this process when another one runs as the same node. */
  supersededFault: () => Fault;
}>;

type IncarnationRecord = Readonly<{ number: number; token: string }>;

const retryMilliseconds = 50;

/** @param onSuperseded - called when another process runs as this node */
function create(context: NodeContext, register: Register, onSuperseded: () => void): Incarnations {
  const { runtime, settings } = context;
  const latest = new Map<string, number>();
  let own = 0;

  /** Requests the next number under this process's token; none if the register does not reply. */
  async function requestNumber(token: string): Promise<Option.Option<IncarnationRecord>> {
    const changed = await register.change(`incarnation/${settings.node}`, function next(current) {
      const record = Option.isSome(current) ? (current.value.value as IncarnationRecord) : { number: 0, token: '' };
      return record.token === token ? Option.none : Option.some({ number: record.number + 1, token });
    });
    if (Either.isLeft(changed) || Option.isNone(changed.right.entry)) return Option.none;
    return Option.some(changed.right.entry.value.value as IncarnationRecord);
  }

  async function acquire(): Promise<void> {
    const token = runtime.randomness.token();
    while (!context.isStopped && own === 0) {
      await runtime.clock.sleep(retryMilliseconds);
      if (context.cores.length === 0) continue;
      const record = await requestNumber(token);
      if (Option.isNone(record)) continue;
      if (record.value.token !== token) return onSuperseded();
      own = record.value.number;
    }
  }

  function isSuperseded(node: string, incarnation: number): boolean {
    const latestKnown = latest.get(node) ?? 0;
    if (incarnation > latestKnown) latest.set(node, incarnation);
    return incarnation < latestKnown;
  }

  function supersededFault(): Fault {
    return fault.create({
      kind: 'superseded',
      message: `another process runs as ${settings.node} with a later incarnation than ${own}`,
      remedy: 'run one process for each node id, or give this one an id of its own',
    });
  }

  return { own: () => own, isSuperseded, acquire, supersededFault };
}

/** @internal */
export const incarnations = { create } as const;
