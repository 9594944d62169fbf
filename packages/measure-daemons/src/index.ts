/** Load tool and measurements over real daemons on loopback. */
export { createRandom } from './create-random.js';
export type { DaemonScenario } from './daemon-scenario.js';
export { DAEMON_SCENARIOS } from './daemon-scenarios.js';
export { measureDaemons } from './measure-daemons.js';
export type { RandomSource } from './random-source.js';
