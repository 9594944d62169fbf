import { readSettings } from '@laburnumshift/read-settings';
import { runNode } from '@laburnumshift/run-node';
import { CANDIDATES } from './candidates.js';

// Runs one node with the decision code of a candidate: daemon-main SETTINGS CANDIDATE.
const [file = '', candidate = 'own'] = process.argv.slice(2);
const node = await runNode(await readSettings(file), CANDIDATES[candidate]);
const { callersUrl, operatorsUrl, meshAddress } = node;
process.stdout.write(`${JSON.stringify({ callersUrl, operatorsUrl, meshAddress })}\n`);
process.once('SIGTERM', () => {
  void node.stop();
});
await node.stopped;
process.exit();
