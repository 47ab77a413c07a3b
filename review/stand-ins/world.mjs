/** Sets up what the cases share: the platform, the members of one service, the deployment and its first configuration. */
import { startDeployment, sleep } from './deployment.mjs';
import { createService } from './members.mjs';
import { configurationOf, sendConfiguration } from './operator.mjs';
import { startPlatform } from './platform.mjs';
import { nextId, openSession } from './client.mjs';

export const tenant = { Label: 'nypu920', Credentials: ['u6wsjnbanfqasnmgkcuy'], Rank: 1 };
export const key = tenant.Credentials[0];

/** Resolves once a session can read from the primary; throws when that takes too long, as then the case could not run. */
async function awaitService(frontAddress, database) {
  const deadline = Date.now() + 30_000;
  while (Date.now() < deadline) {
    const session = await openSession(frontAddress, database, key);
    if (session.isOpen) {
      const reply = await session.query(nextId(), 'READ 1a4');
      session.close();
      if (!reply.cut && reply.completion.startsWith('DONE')) return;
    }
    await sleep(200);
  }
  throw new Error('the service did not become available');
}

export async function createWorld({
  record,
  specifications,
  routes,
  synchronousReplicas = 0,
  connectionLimit,
  options,
  onPromoted,
  edgeCount = 1,
}) {
  const host = '127.0.0.1';
  const service = 'huvo11a';
  const controlAddresses = [];
  const members = createService({
    service,
    specifications,
    host,
    record,
    controlAddresses,
    synchronousReplicas: () => synchronousReplicas,
    options,
  });
  const platform = await startPlatform({
    host,
    record,
    onPromotion: (body) => body.Plant === service && members.promote(body.InstanceId, onPromoted),
  });
  const deployment = await startDeployment({ record, platformAddress: platform.address, edgeCount });
  controlAddresses.push(...deployment.controlAddresses);

  async function stop() {
    await deployment.stop();
    members.stop();
    platform.stop();
  }

  function configuration(version, changes = {}) {
    return configurationOf({ version, service, routes, accounts: [tenant], synchronousReplicas, connectionLimit, ...changes });
  }

  function configure(version, changes) {
    return sendConfiguration({ configuration: configuration(version, changes), controlAddresses, record });
  }

  try {
    await members.start();
    if (!(await configure(7))) throw new Error('the first configuration was not acknowledged');
    for (const { frontAddress } of deployment.edges) await awaitService(frontAddress, routes[0].Hostname);
  } catch (error) {
    await stop();
    throw error;
  }
  record('the service is available');
  return { deployment, members, configure, configuration, stop };
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(main, record) {
  const timer = setTimeout(() => {
    record('the case took too long');
    process.exit(2);
  }, 118_000);
  let code = 2;
  try {
    code = (await main()) ? 1 : 0;
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  record(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  console.log(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  process.exit(code);
}
