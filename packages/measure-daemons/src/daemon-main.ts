import { createLogger } from '@laburnumshift/logger';
import { readSettings } from '@laburnumshift/read-settings';
import { holdSignals, runDaemon } from '@laburnumshift/run-daemon';
import { runNode } from '@laburnumshift/run-node';
import { CANDIDATES } from './candidates.js';

// Runs one node with the decision code of a candidate: daemon-main SETTINGS CANDIDATE.
const signals = holdSignals();
const [file = '', candidate = 'own'] = process.argv.slice(2);
await runDaemon({
  signals,
  logger: createLogger('node'),
  start: async () => {
    const node = await runNode(await readSettings(file), CANDIDATES[candidate]);
    const { callersUrl, operatorsUrl, meshAddress } = node;
    process.stdout.write(`${JSON.stringify({ callersUrl, operatorsUrl, meshAddress })}\n`);
    return node;
  },
});
process.exit();
