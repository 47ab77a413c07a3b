import { MappingsImport } from './mappings.js';
import { RunAgent, RunCore, RunProxy } from './daemons.js';
import {
  AcceptLoss, Audit, Drain, Elections, Liveness, Members, Metrics, OperatorPut, OperatorRemove, Operators, Remove, Retire, SheetCheck, SheetDiff, SheetGet, SheetSend,
  SheetVersions, Status, Usage,
} from './operator.js';

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
