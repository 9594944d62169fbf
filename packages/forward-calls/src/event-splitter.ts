import type { CollectFault } from '@laburnumshift/collect-bytes';

/** Splits a server-sent event stream at the ends of complete events. */
export interface EventSplitter {
  /**
   * Adds received bytes and returns the events that they complete, or `undefined` when there are none. When `isResumed` is true, returns
   * `foreign` for events that do not continue the stream.
   */
  readonly addBytes: (bytes: Buffer, isResumed?: boolean) => Buffer | 'foreign' | undefined;
  /** Returns the `id` field of the last complete event that had one. */
  readonly getLastEventId: () => string | undefined;
  /** Returns the bytes after the last complete event; empty when there are none. */
  readonly getPartialEvent: () => Buffer;
  /** Returns the reason when bytes of the incomplete event could not be kept, which ends the stream. */
  readonly getFault: () => CollectFault | undefined;
  /** Discards the incomplete event, as is needed before the stream is resumed on another connection. */
  readonly clearPartialEvent: () => void;
}
