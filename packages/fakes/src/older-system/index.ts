/** Fake older system with fault switches. */
export { computeToken } from './compute-token.js';
export type { FakeOlderSystem } from './fake-older-system.js';
export { startFakeOlderSystem } from './start-fake-older-system.js';
