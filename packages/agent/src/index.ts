export * from './agent.js';
export * from './lease-agent.js';
