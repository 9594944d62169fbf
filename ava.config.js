export default {
  files: [
    'packages/*/dist/test/**/*.test.js',
    'platform/dist/test/**/*.test.js',
    'eslint-rules/test/*.test.js',
    '!packages/check-histories/**',
  ],
  timeout: '2m',
  workerThreads: false,
};
