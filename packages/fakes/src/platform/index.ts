/** Stand-in of the platform: object API, host list and weight store, with fault switches. */
export type { FakePlatform } from './fake-platform.js';
export type { FakePlatformOptions } from './fake-platform-options.js';
export type { PlatformFaults } from './platform-faults.js';
export { startFakePlatform } from './start-fake-platform.js';
