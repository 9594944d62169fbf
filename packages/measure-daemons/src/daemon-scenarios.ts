import type { DaemonScenario } from './daemon-scenario.js';
import type { DEPLOYMENTS } from './deployments.js';
import { DAEMON_FAULTS } from './daemon-faults.js';
import { runFailedNode } from './run-failed-node.js';
import { runFaultScenario } from './run-fault-scenario.js';
import { runLeavingServer } from './run-leaving-server.js';
import { runLoadScenario } from './run-load-scenario.js';
import { runPlatformDown } from './run-platform-down.js';
import { runPublish } from './run-publish.js';
import { runRollingRestart } from './run-rolling-restart.js';
import { runUrgentScenario } from './run-urgent-scenario.js';

function buildLoad(deployment: keyof typeof DEPLOYMENTS, load: number, text: string): DaemonScenario {
  return {
    description: `${deployment} deployment at ${text} load, six daemons, against the baselines`,
    run: (seed) => runLoadScenario(deployment, load, seed),
  };
}

/** All scenarios over real daemons by name. */
export const DAEMON_SCENARIOS: Readonly<Record<string, DaemonScenario>> = {
  'steady-night-walk': buildLoad('night-walk', 1, 'steady'),
  'steady-repair-counter': buildLoad('repair-counter', 1, 'steady'),
  'half-night-walk': buildLoad('night-walk', 0.5, 'half the'),
  'half-repair-counter': buildLoad('repair-counter', 0.5, 'half the'),
  'twice-night-walk': buildLoad('night-walk', 2, 'twice the'),
  'twice-repair-counter': buildLoad('repair-counter', 2, 'twice the'),
  'urgent-night-walk': {
    description: 'urgent calls of the night-walk deployment at half and twice the load',
    run: (seed) => runUrgentScenario('night-walk', seed),
  },
  'urgent-repair-counter': {
    description: 'urgent calls of the repair-counter deployment at half and twice the load',
    run: (seed) => runUrgentScenario('repair-counter', seed),
  },
  ...Object.fromEntries(
    Object.entries(DAEMON_FAULTS).map(([name, fault]): [string, DaemonScenario] => [
      name,
      { description: fault.description, run: (seed) => runFaultScenario(fault, seed) },
    ]),
  ),
  'platform-down': {
    description: 'the platform refuses every call for the whole run',
    run: runPlatformDown,
  },
  'leaving-server': {
    description: 'time of the last new call of a leaving engine and service instance',
    run: runLeavingServer,
  },
  'failed-node': {
    description: 'time until killed nodes are out of every route',
    run: runFailedNode,
  },
  publish: {
    description: 'twenty publishes under load, with a node started and a slow platform',
    run: runPublish,
  },
  'rolling-restart': {
    description: 'rolling restart of six daemons under load',
    run: runRollingRestart,
  },
};
