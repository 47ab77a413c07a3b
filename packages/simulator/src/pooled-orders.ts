/** What must hold of operators' orders, judged by their answers and by what is read back (design 10.4.1). */
import * as Option from 'fp-ts/lib/Option.js';
import type { Violation } from './fleet-checks/check-records.js';
import { orderChecks } from './order-checks.js';
import type { PooledStorm } from './faults/common.js';
import type { PooledFleet, PooledVersion } from './pooled-model.js';

type OrderedFleet = Pick<PooledFleet, 'versions' | 'orderCalls' | 'cores' | 'readBack' | 'drive'>;

function sameNumber(fleet: OrderedFleet, sent: PooledVersion): readonly PooledVersion[] {
  return fleet.versions.filter((one) => one.version === sent.version);
}

/** A valid order is acknowledged or left without a clear answer, never refused, unless another text holds its number. */
function refused(fleet: OrderedFleet): readonly Violation[] {
  return fleet.versions
    .filter((sent) => sent.refused && sameNumber(fleet, sent).length === 1)
    .map((sent) => ({ check: 'order-refused', detail: `version ${sent.version} is valid and was refused` }));
}

/** What is invalid is never acknowledged. */
function invalidAcknowledged(storm: Pick<PooledStorm, 'invalidOrders'>): readonly Violation[] {
  return storm.invalidOrders
    .filter((order) => order.status === 200)
    .map((order) => ({ check: 'order-invalid', detail: `an order (${order.variant}) was acknowledged at ${Math.round(order.at)}` }));
}

function readBackOf(fleet: OrderedFleet, core: string, read: Readonly<{ version: number; sheet: unknown }>): readonly Violation[] {
  const acknowledged = Math.max(...fleet.versions.filter((sent) => Number.isFinite(sent.acknowledgedAt)).map((sent) => sent.version));
  const texts = fleet.versions.filter((sent) => sent.version === read.version && !sent.refused).map((sent) => JSON.stringify(sent.sheet));
  return [
    ...orderChecks.readBack(fleet.orderCalls, { number: read.version, text: JSON.stringify(read.sheet) }),
    ...(read.version < acknowledged
      ? [{ check: 'read-back', detail: `${core} reads ${read.version} back, ${acknowledged} was acknowledged` }]
      : []),
    ...(texts.includes(JSON.stringify(read.sheet))
      ? []
      : [{ check: 'read-back', detail: `${core} reads ${read.version} back otherwise than it was sent` }]),
  ];
}

/** Each core reads back the newest acknowledged configuration, or a newer one, as it was sent; and all read the same. */
async function readBack(fleet: OrderedFleet): Promise<readonly Violation[]> {
  const found: Violation[] = [];
  const texts = new Set<string>();
  for (const [index, slot] of fleet.cores.entries()) {
    const read = await fleet.drive(fleet.readBack(index));
    if (Option.isNone(read)) found.push({ check: 'read-back', detail: `${slot.name} reads nothing back` });
    else {
      texts.add(JSON.stringify(read.value));
      found.push(...readBackOf(fleet, slot.name, read.value));
    }
  }
  if (texts.size > 1) found.push({ check: 'read-back', detail: `cores read ${texts.size} different configurations back` });
  return found;
}

/** Every order is sent once more to every core: what each replies must agree with all that was replied before. */
async function sendAllAgain(fleet: PooledFleet): Promise<readonly Violation[]> {
  const calmFrom = fleet.world.now();
  for (const sent of fleet.versions) {
    for (const index of fleet.cores.keys()) {
      const { outcome } = await fleet.drive(fleet.order(sent, index));
      if (outcome === 'refused') sent.refused = true;
    }
  }
  return orderChecks.judge(fleet.orderCalls, calmFrom);
}

export const pooledOrders = { sendAllAgain, refused, invalidAcknowledged, readBack } as const;
