export * from './lessor.js';
export * from './lessee.js';
