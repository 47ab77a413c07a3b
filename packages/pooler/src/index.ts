export * from './pooler.js';
