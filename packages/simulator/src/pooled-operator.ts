/** An operator of the pooled fleet: sends versions of the placement configuration until it gets a clear reply, and reads them back. */
import * as Option from 'fp-ts/lib/Option.js';
import { http, identifiers, type HttpReply, type Runtime } from '@stallstall/kernel';
import type { OrderCall } from './order-checks.js';
import type { OperatorTrouble, PooledFleet, PooledSheet, PooledVersion } from './pooled-model.js';
import type { World } from './world.js';
import { replyOf } from './http-replies.js';

export type PooledOperatorParts = Readonly<{
  world: Pick<World, 'fraction'>;
  /** Of the machine that the operator runs on. */
  runtime: Runtime;
  trouble: OperatorTrouble;
  /** Where each core in use serves its pages, by its place in the fleet. */
  addresses: () => readonly string[];
  versions: PooledVersion[];
  orderCalls: OrderCall[];
}>;

export type PooledOperator = Pick<PooledFleet, 'configure' | 'resend' | 'order' | 'readBack' | 'call'>;

const callMilliseconds = 1_000;
const pauseMilliseconds = 300;
/** A version that got no clear reply after so many attempts is given up. */
const attemptsMost = 40;

function outcomeOf({ status }: HttpReply): OrderCall['outcome'] {
  if (status === 200) return 'acknowledged';
  return status >= 400 && status < 500 ? 'refused' : 'none';
}

function create({ world, runtime, trouble, addresses, versions, orderCalls }: PooledOperatorParts): PooledOperator {
  async function call(coreIndex: number, path: string, body: unknown): Promise<HttpReply> {
    const address = addresses()[coreIndex];
    if (address === undefined) throw new Error(`there is no core ${coreIndex} in use`);
    const method = body === undefined ? 'GET' : 'POST';
    return replyOf(await http.exchangeOnce(runtime, identifiers.address(address), { method, path, body }, callMilliseconds));
  }

  /** The reply as the operator hears it: one that is lost on the way is silence. */
  function arrived(reply: HttpReply): HttpReply {
    const lost = trouble.lostShare > 0 && world.fraction() < trouble.lostShare;
    return lost ? { status: 0, body: {} } : reply;
  }

  async function order({ version, sheet }: Pick<PooledVersion, 'version' | 'sheet'>, coreIndex: number): Promise<OrderCall> {
    const sentAt = runtime.clock.now();
    const reply = arrived(await call(coreIndex, '/configuration', { version, sheet }));
    const done: OrderCall = {
      number: version,
      text: JSON.stringify(sheet),
      core: coreIndex,
      sentAt,
      endedAt: runtime.clock.now(),
      outcome: outcomeOf(reply),
    };
    orderCalls.push(done);
    return done;
  }

  /** Goes on to other cores until one replies clearly. */
  async function resend(sent: PooledVersion, coreIndex: number): Promise<boolean> {
    for (let attempt = 0; attempt < attemptsMost; attempt += 1) {
      const { outcome } = await order(sent, (coreIndex + attempt) % addresses().length);
      if (outcome === 'acknowledged') sent.acknowledgedAt = Math.min(sent.acknowledgedAt, runtime.clock.now());
      if (outcome === 'refused') sent.refused = true;
      if (outcome !== 'none') return outcome === 'acknowledged';
      await runtime.clock.sleep(pauseMilliseconds);
    }
    return false;
  }

  function configure(version: number, sheet: PooledSheet, coreIndex: number): Promise<boolean> {
    const sent: PooledVersion = {
      version,
      sheet,
      sentAt: runtime.clock.now(),
      acknowledgedAt: Number.POSITIVE_INFINITY,
      refused: false,
    };
    versions.push(sent);
    return resend(sent, coreIndex);
  }

  async function readBack(coreIndex: number): Promise<Option.Option<Readonly<{ version: number; sheet: unknown }>>> {
    const reply = await call(coreIndex, '/configuration', undefined);
    return reply.status === 200 ? Option.some(reply.body as Readonly<{ version: number; sheet: unknown }>) : Option.none;
  }

  return { configure, resend, order, readBack, call };
}

export const pooledOperator = { create } as const;
