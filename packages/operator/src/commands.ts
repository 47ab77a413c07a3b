import { RunAgent, RunCore, RunProxy } from './daemons.js';
import { Drain, Elections, Members, Remove, Retire, SheetCheck, SheetDiff, SheetGet, SheetSend, Status, Usage } from './operator.js';

export const commands = {
  'run:core': RunCore,
  'run:agent': RunAgent,
  'run:proxy': RunProxy,
  status: Status,
  members: Members,
  elections: Elections,
  usage: Usage,
  'sheet:check': SheetCheck,
  'sheet:send': SheetSend,
  'sheet:get': SheetGet,
  'sheet:diff': SheetDiff,
  drain: Drain,
  remove: Remove,
  retire: Retire,
};
