import type { CacheEventReader } from '@laburnumshift/read-cache-events';

/** Reader of cache events that can read them from another host, and that serves its own to other hosts. */
export interface EventsRelay extends CacheEventReader {
  /** Whether another host requested events within `RELAY_TIMING.followerTimeoutMs`. */
  readonly hasFollowers: () => boolean;
  /** Reports that platform objects changed, so that pending long polls are answered. */
  readonly notifyChanged: () => void;
  /** Polls the upstream host now instead of after the poll interval, because it has changes. */
  readonly pollNow: () => void;
  /** Records that the upstream host reported no changes, which postpones the next poll of a host that reads no events. */
  readonly recordUpToDate: () => void;
}
