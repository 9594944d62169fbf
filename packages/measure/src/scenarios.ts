import { runDecisionScenario } from './run-decision-scenario.js';
import { runPlacementScenario } from './run-placement-scenario.js';
import type { Scenario } from './scenario.js';

/** All scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'placement-decision': {
    description: 'time of one placement decision by fleet size',
    repeatable: false,
    run: runDecisionScenario,
  },
  'placement-repair-counter': {
    description: 'repair-counter deployment against the baselines, simulated clock',
    repeatable: true,
    run: (seed) => runPlacementScenario('repair-counter', seed),
  },
  'placement-night-walk': {
    description: 'night-walk deployment against the baselines, simulated clock',
    repeatable: true,
    run: (seed) => runPlacementScenario('night-walk', seed),
  },
};
