/** The two deployments of the brief, as sheets and loads (design 10.2). */
import type { StatementKind } from '@stallstall/placement';

export type Deployment = Readonly<{
  name: string;
  connectionLimit: number;
  services: readonly string[];
  requestsPerSecond: number;
  sessions: number;
  mix: ReadonlyArray<Readonly<{ kind: StatementKind; share: number; transaction: boolean }>>;
}>;

export const redComun: Deployment = {
  name: 'red-comun',
  connectionLimit: 95,
  services: ['bookings', 'charging', 'maps'],
  requestsPerSecond: 315,
  sessions: 210,
  mix: [
    { kind: 'write', share: 0.5, transaction: false },
    { kind: 'write', share: 0.16, transaction: true },
    { kind: 'bounded-read', share: 0.34, transaction: false },
  ],
};

export const brightpath: Deployment = {
  name: 'brightpath',
  connectionLimit: 56,
  services: ['acceptances', 'applicants', 'seats'],
  requestsPerSecond: 315,
  sessions: 210,
  mix: [
    { kind: 'write', share: 0.55, transaction: false },
    { kind: 'bounded-read', share: 0.3, transaction: false },
    { kind: 'own-read', share: 0.15, transaction: false },
  ],
};

export const areas = ['north', 'middle', 'south'] as const;

export type MemberPlace = Readonly<{ service: string; member: string; area: string; address: string; control: string }>;

/** The whole sheet of a deployment whose members stand at the given places. */
function sheet(deployment: Deployment, members: readonly MemberPlace[], key: string): Readonly<Record<string, unknown>> {
  return {
    services: deployment.services.map((service) => ({
      service,
      connectionLimit: deployment.connectionLimit,
      members: members
        .filter((one) => one.service === service)
        .map((one) => ({ member: one.member, area: one.area, address: one.address, state: 'serving' })),
    })),
    rows: deployment.services.flatMap((service) =>
      areas.map((area) => {
        const named = members.filter((one) => one.service === service);
        return {
          service,
          area,
          serves: {
            write: 'leader',
            'leader-read': 'leader',
            'bounded-read': named.map((one) => one.member),
            'own-read': named.map((one) => one.member),
          },
          weights: Object.fromEntries(named.map((one) => [one.member, one.area === area ? 4 : 1])),
          staleMilliseconds: 1_500,
          mostWaiting: 400,
        };
      }),
    ),
    keys: [{ key, services: [...deployment.services], kinds: ['write', 'leader-read', 'bounded-read', 'own-read'] }],
  };
}

export const deployments = { redComun, brightpath, sheet } as const;
