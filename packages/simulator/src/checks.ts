/**
 * The checkers of what must never happen. They judge by what senders, members, platform and operators saw; where one reads a
 * process's own state, another beside it does not (design 10.3).
 */
import type { HttpReply } from '@stallstall/kernel';
import type { Ledger } from '@stallstall/fakes';
import type { CoreSlot, Fleet } from './fleet.js';
import type { SentConfiguration, Violation } from './fleet-checks/check-records.js';
import { draining, plannedEnds } from './fleet-checks/draining-checks.js';
import { obeying, watch, weights } from './fleet-checks/placement-checks.js';
import { promotions, uncertain, untellable, usage } from './fleet-checks/platform-call-checks.js';
import { reads, sessions, writes } from './fleet-checks/statement-checks.js';

/** How often each write stands in the log of each service's primary. */
function logsOf(fleet: Fleet): ReadonlyMap<string, ReadonlyMap<string, number>> {
  return new Map(
    fleet.deployment.services.map((service) => {
      const names = new Map<string, number>();
      for (const commit of fleet.primaryOf(service)?.store.log ?? [])
        for (const change of commit.changes) names.set(change.name, (names.get(change.name) ?? 0) + 1);
      return [service, names] as const;
    }),
  );
}

/** Every acknowledged version, read through every core that runs, against the very sheet that was sent. */
async function readBack(fleet: Fleet, sends: readonly SentConfiguration[]): Promise<readonly Violation[]> {
  const violations: Violation[] = [];
  const cores = fleet.cores.flatMap((slot: CoreSlot, index) =>
    slot.process?.alive() === true && slot.running !== undefined ? [index] : [],
  );
  for (const sent of sends.filter((one) => one.version > 0)) {
    for (const index of cores) {
      const reply: HttpReply = await fleet.sendOperatorRequest('GET', `/v1/sheet?version=${sent.version}`, undefined, {}, index);
      const sheet = (reply.body as { sheet?: unknown } | null)?.sheet;
      if (reply.status !== 200 || JSON.stringify(sheet) !== JSON.stringify(sent.configuration)) {
        violations.push({
          check: 'configuration-missing',
          detail: `version ${sent.version} read back through core-${index + 1} as ${reply.status} ${JSON.stringify(reply.body).slice(0, 120)}`,
        });
      }
    }
  }
  return violations;
}

const recoverySeconds = 12;

/** Each service by itself: no stretch of more than twelve seconds below a quarter of normal from the moment the last machine was back. */
function recovery(
  ledger: Pick<Ledger, 'servedByService'>,
  services: readonly string[],
  from: number,
  until: number,
  normal: number,
): readonly Violation[] {
  return services.flatMap((service) => {
    const seconds = ledger.servedByService.get(service);
    let low = 0;
    for (let second = Math.ceil(from / 1_000); second < Math.floor(until / 1_000); second += 1) {
      low = (seconds?.get(second) ?? 0) < normal / services.length / 4 ? low + 1 : 0;
      if (low > recoverySeconds)
        return [
          {
            check: 'recovery-late',
            detail: `${service} below a quarter of normal for ${low} s, ${Math.round(second - from / 1_000)} s after the last machine was back`,
          },
        ];
    }
    return [];
  });
}

function limits(fleet: Fleet, peaks: ReadonlyMap<string, number>): readonly Violation[] {
  return [...peaks]
    .filter(([, peak]) => peak > fleet.deployment.connectionLimit)
    .map(([member, peak]) => ({ check: 'connection-limit', detail: `${member} held ${peak} of ${fleet.deployment.connectionLimit}` }));
}

export const checks = {
  writes,
  reads,
  sessions,
  promotions,
  usage,
  uncertain,
  untellable,
  watch,
  obeying,
  weights,
  draining,
  plannedEnds,
  logsOf,
  readBack,
  recovery,
  limits,
} as const;
