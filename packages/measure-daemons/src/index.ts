/** Load tool and measurements over real daemons on loopback. */
export type { DaemonScenario } from './daemon-scenario.js';
export { DAEMON_SCENARIOS } from './daemon-scenarios.js';
export { measureDaemons } from './measure-daemons.js';
