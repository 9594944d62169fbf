import { sleep, waitWithTimeout } from '@laburnumshift/clock';
import type { CallerServer } from '@laburnumshift/serve-callers';
import type { OperatorServer } from '@laburnumshift/serve-operators';
import type { NodeParts } from './node-parts.js';

/**
 * Stops a node without cutting a request: readiness is already off; the load balancer gets time to notice; then new work is
 * refused and streams finish; the other nodes learn that this one leaves, so that its homes move; then all is closed.
 */
export async function stopNode(
  parts: NodeParts,
  callers: CallerServer,
  operators: OperatorServer,
): Promise<void> {
  const { settings, logger } = parts;
  logger.info('drains');
  await sleep(settings.shutdown.balancerDelayMs);
  const drained = callers.drain().then(() => true);
  // Others take the homes over before this node's own last streams end, so that placement does not pause.
  await parts.membership.leave();
  const finished = await waitWithTimeout(drained, settings.shutdown.drainMs);
  if (finished === undefined) logger.warn('requests are cut because the drain time is over');
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
