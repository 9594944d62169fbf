// The histories start many nodes and follow their delays, so they run after the other tests and not beside them.
export default {
  files: ['packages/check-histories/dist/test/**/*.test.js'],
  timeout: '5m',
  workerThreads: false,
};
