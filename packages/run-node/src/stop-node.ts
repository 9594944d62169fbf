import { sleep, waitWithTimeout } from '@laburnumshift/clock';
import type { CallerServer } from '@laburnumshift/serve-callers';
import type { OperatorServer } from '@laburnumshift/serve-operators';
import type { NodeParts } from './node-parts.js';

/**
 * Stops a node. Readiness must already be off. The load balancer has `balancerDelayMs` to notice it. The node then refuses new
 * requests, leaves the membership so that its homes move to other nodes, and waits up to `drainMs` for requests in progress.
 * Requests that are still in progress after that time are cut.
 */
export async function stopNode(
  parts: NodeParts,
  callers: CallerServer,
  operators: OperatorServer,
): Promise<void> {
  const { settings, logger } = parts;
  logger.info('draining');
  await sleep(settings.shutdown.balancerDelayMs);
  const drained = callers.drain().then(() => true);
  // Other nodes take over the homes before the last streams of this node end, so that placement does not pause.
  await parts.membership.leave();
  const finished = await waitWithTimeout(drained, settings.shutdown.drainMs);
  if (finished === undefined) logger.warn('drain time exceeded; cutting the remaining requests');
  await parts.orders.release();
  await parts.journal.close();
  await callers.close();
  await operators.close();
  for (const part of [
    parts.homes,
    parts.servers,
    parts.limiter,
    parts.quarantine,
    parts.registry,
    parts.configWatch,
    parts.hostWatch,
    parts.membership,
    parts.peers,
    parts.platform,
  ]) {
    part.close();
  }
  await parts.mesh.close();
  logger.info('stopped');
}
