import type { StoreStat } from '@laburnumshift/types';
import type { StoreContext } from './store-context.js';
import type { StoreSettings } from './store-settings.js';

/** Computes the state of the store; the link's rate includes the fault factor. */
export function computeStat(context: StoreContext, options: StoreSettings): StoreStat {
  const faults = context.getFaults();
  return {
    memoryBytes: options.memoryBytes,
    memoryUsed: context.table.getUsed('memory'),
    diskBytes: options.diskBytes,
    diskUsed: context.table.getUsed('disk'),
    linkBytesPerSecond: options.linkBytesPerSecond * faults.linkFactor,
    linkQueuedBytes: context.link.queuedBytes,
    otherShare: faults.otherShare,
  };
}
