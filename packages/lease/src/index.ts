export * from './lease-grantor.js';
export * from './lease-holder.js';
