import { runNode } from '@laburnumshift/run-node';
import type { NodeSettings } from '@laburnumshift/types';

// One node in a process of its own; any message asks for its memory and processor time.
process.once('message', (settings: NodeSettings) => {
  runNode(settings).then(
    ({ meshAddress, operatorsUrl }) => {
      process.on('message', () => {
        // Before the collection, which is not part of the node's work.
        const { user, system } = process.cpuUsage();
        globalThis.gc?.();
        const { rss, heapUsed, external } = process.memoryUsage();
        process.send?.({ rss, held: heapUsed + external, us: user + system });
      });
      process.send?.({ meshAddress, operatorsUrl });
    },
    (error: unknown) => {
      process.stderr.write(`node: ${String(error)}\n`);
      process.exit(1);
    },
  );
});
process.on('disconnect', () => {
  process.exit();
});
