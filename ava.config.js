export default {
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  files: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
  workerThreads: false,
  timeout: '3m',
  concurrency: 4,
};
