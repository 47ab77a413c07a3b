export { core, type Core } from './core.js';
export type { PlatformIntegration, CoreSettings } from './core-settings.js';
export type { PlatformApi } from './platform-api.js';
export { maxClaimsPerSlot, claimTable, type ClaimTable } from './claim-table.js';
export { maxVersionBytes } from './version-index.js';
export { versionStore, type VersionStore } from './version-store.js';

// Used by the state space exploration (design 10.4), which runs these modules over its own network and disks.
export type { CoreCall } from './core-calls.js';
export { coreSetManager, type CoreSetManager } from './core-set-manager.js';
export { createCoreSetView, coreSetOf, type FleetRecord } from './fleet-record.js';
export { stateTransfer } from './state-transfer.js';
