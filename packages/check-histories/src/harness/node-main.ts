import { once } from 'node:events';
import { runNode } from '@laburnumshift/run-node';
import type { NodeSettings } from '@laburnumshift/types';

const [settings] = (await once(process, 'message')) as [NodeSettings];
const node = await runNode(settings);
process.on('disconnect', () => {
  process.exit();
});
process.on('SIGTERM', () => {
  node.stop().then(
    () => process.exit(0),
    () => process.exit(1),
  );
});
process.send?.({
  callersUrl: node.callersUrl,
  operatorsUrl: node.operatorsUrl,
  meshAddress: node.meshAddress,
});
