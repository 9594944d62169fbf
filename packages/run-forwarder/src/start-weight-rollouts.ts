import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { OrderedStore } from '@laburnumshift/order-revisions';
import { listOutdatedEngines, orderWeights } from '@laburnumshift/roll-weights';
import type { ForwarderOptions } from './forwarder-options.js';
import { FORWARDER_TIMINGS } from './forwarder-timings.js';
import type { HostContext } from './host-context.js';
import { isLeaseCandidate } from './is-lease-candidate.js';
import type { WeightRollouts } from './weight-rollouts.js';

const LEASE_NAME = 'weights';

/**
 * Takes part in sending engines the order to load new weights, which only the holder of a lease does. While an engine is outdated, a
 * few candidate hosts request the lease. The other hosts request it only when nothing changes, in case all candidates are lost.
 */
export function startWeightRollouts(
  options: Pick<ForwarderOptions, 'settings' | 'control' | 'kinds'>,
  { self, bornMs, fleet, listPeers }: Pick<HostContext, 'self' | 'bornMs' | 'fleet' | 'listPeers'>,
  { source, leases, era }: OrderedStore,
): WeightRollouts {
  const times = FORWARDER_TIMINGS;
  let lastOutdatedAtMs = -Infinity;
  let lastChangeAtMs = readMonotonicMs();
  const isCandidate = (): boolean => isLeaseCandidate(LEASE_NAME, self.host, listPeers());
  const isStalled = (): boolean => readMonotonicMs() - lastChangeAtMs >= times.rolloutStallMs;
  const leaseRef: { lease?: Lease } = {};
  const isHolder = (): boolean => leaseRef.lease?.getFencingToken() !== undefined;
  const isWanted = (): boolean => {
    const now = readMonotonicMs();
    const hasOutdatedEngines = listOutdatedEngines(fleet).length > 0;
    if (hasOutdatedEngines) lastOutdatedAtMs = now;
    if (isHolder()) return now - lastOutdatedAtMs < times.leaseLingerMs;
    return hasOutdatedEngines && (isCandidate() || isStalled());
  };
  const lease = holdLease({
    platform: leases,
    name: LEASE_NAME,
    self: { host: self.host, incarnation: bornMs },
    durations: times.lease,
    era,
    isWanted,
    getPollMs: () =>
      isHolder() || (isCandidate() && listOutdatedEngines(fleet).length > 0)
        ? times.lease.pollMs
        : isCandidate()
          ? times.idleLeasePollMs
          : times.nonCandidateLeasePollMs,
  });
  leaseRef.lease = lease;
  fleet.watchBackends(() => {
    lastChangeAtMs = readMonotonicMs();
  });
  // A candidate polls at once: after a long pause it would notice late that the holder does not renew its lease.
  fleet.watchWeights(() => {
    lastChangeAtMs = readMonotonicMs();
    if (isCandidate()) lease.pollNow();
  });
  const stop = orderWeights({
    fleet,
    control: options.control,
    writeOrderMark: (engine, mark) => source.writeStatus(options.kinds.backends, engine, mark),
    lease,
    era,
    host: self.host,
    bounds: options.settings.bounds,
  });
  return { stop, releaseLease: lease.release };
}
