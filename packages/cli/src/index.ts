export { commands } from './commands.js';
export { agentSettings, coreSettings, proxySettings, settings } from './settings.js';
export { openapi } from './mappings.js';
