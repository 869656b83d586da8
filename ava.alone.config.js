import config from './ava.config.js';

/** Tests that measure a process, and run one at a time. */
export const files = [
  'packages/cli/tests/abusiveClients/**/*.test.ts',
  'platform/tests/abusiveClients/**/*.test.ts',
];

export default { ...config, files, concurrency: 1, serial: true };
