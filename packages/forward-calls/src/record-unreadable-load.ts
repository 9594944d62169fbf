import type { BackendEntry } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { ForwarderDependencies } from './forwarder-dependencies.js';

const logger = createLogger('load');

/** Counts a load report that cannot be read, and logs the first one of each server. The load known before stays. */
export function recordUnreadableLoad(
  { metrics, serverTracker }: Pick<ForwarderDependencies, 'metrics' | 'serverTracker'>,
  { id, service }: BackendEntry,
): void {
  metrics.addToCounter('unreadable_loads_total', { service });
  if (serverTracker.recordUnreadableLoad(id) === 1)
    logger.warn('server reports a load that cannot be read', { server: id, service });
}
