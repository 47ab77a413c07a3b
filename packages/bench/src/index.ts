export * from './real-fleet.js';
export * from './soak/order-lag.js';
export * from './soak/resource-growth.js';
export * from './soak/soak-schedule.js';
