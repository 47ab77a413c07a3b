/** Stand-in for the operator: sends a whole configuration until it is acknowledged. */
import { call } from './calls.mjs';

export function configurationOf({ version, service, routes, accounts, synchronousReplicas = 0, connectionLimit = 95 }) {
  return {
    Generation: version,
    Channels: routes.map((route, index) => ({
      Label: `r-${index}`,
      PathPrefix: '/',
      Rank: 1,
      Plant: service,
      Tries: 2,
      Unkeyed: false,
      ...route,
    })),
    Plants: [
      {
        Label: service,
        ProbePath: '/health',
        ConnLimit: connectionLimit,
        Protocol: 'h1',
        TlsMode: false,
        SyncReplicas: synchronousReplicas,
      },
    ],
    InputLimits: { HeadBytes: 16384, PayloadBytes: 262144, HeadReadMs: 3000, QuietConnMs: 15000, TxRestMs: 3000 },
    Accounts: accounts,
  };
}

/** Resolves to true once the configuration is acknowledged. */
export async function sendConfiguration({ configuration, controlAddresses, record, milliseconds = 20_000 }) {
  const deadline = Date.now() + milliseconds;
  for (let attempt = 0; Date.now() < deadline; attempt += 1) {
    const { status } = await call(controlAddresses[attempt % controlAddresses.length], 'POST', '/api/config/replace', configuration);
    if (status === 200) {
      record(`operator: version ${configuration.Generation} acknowledged`);
      return true;
    }
    if ([400, 409, 412, 413, 422].includes(status)) {
      record(`operator: version ${configuration.Generation} refused with ${status}`);
      return false;
    }
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
  return false;
}
