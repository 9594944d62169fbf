import type { EventsReader } from '@laburnumshift/read-cache-events';

/** A reader of cache events that may follow another host, and tells others what it knows. */
export interface EventsRelay extends EventsReader {
  /** Other hosts asked lately. */
  readonly isAsked: () => boolean;
}
