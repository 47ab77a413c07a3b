/** Maps command names on the command line to their classes. */
import { MappingsImport } from './mappings.js';
import { RunAgent, RunCore, RunProxy } from './daemons.js';
import { Liveness, Metrics } from './health-commands.js';
import { Audit, Elections, Members, Operators, SheetVersions, Status, Usage } from './listing-commands.js';
import { AcceptLoss, Drain, Remove, Retire } from './node-commands.js';
import { OperatorPut, OperatorRemove } from './operator-commands.js';
import { SheetCheck, SheetDiff, SheetGet, SheetSend } from './sheet-commands.js';

export const commands = {
  'run:core': RunCore,
  'run:agent': RunAgent,
  'run:proxy': RunProxy,
  status: Status,
  liveness: Liveness,
  metrics: Metrics,
  audit: Audit,
  operators: Operators,
  'operators:put': OperatorPut,
  'operators:remove': OperatorRemove,
  members: Members,
  elections: Elections,
  usage: Usage,
  'sheet:check': SheetCheck,
  'sheet:send': SheetSend,
  'sheet:get': SheetGet,
  'sheet:diff': SheetDiff,
  'sheet:versions': SheetVersions,
  'mappings:import': MappingsImport,
  drain: Drain,
  remove: Remove,
  retire: Retire,
  'accept-loss': AcceptLoss,
};
