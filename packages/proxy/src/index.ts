export { proxy, type Proxy } from './proxy.js';
export { graceMilliseconds, type ProxySettings } from './settings.js';
export type { PlacementSnapshot } from './statement-request.js';
