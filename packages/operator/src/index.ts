export { commands } from './commands.js';
export { settings } from './settings.js';
