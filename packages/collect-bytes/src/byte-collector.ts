import type { CollectFault } from './collect-fault.js';

/** Keeps the bytes of one body or event. */
export interface ByteCollector {
  /** Adds a copy of a chunk. Returns the reason when it cannot be kept; nothing may be added then until `clear` is called. */
  readonly addChunk: (chunk: Buffer) => CollectFault | undefined;
  /** Returns the number of bytes that are kept. */
  readonly countBytes: () => number;
  /** Returns all bytes. The buffer holds until the next call of `addChunk` or `clear`. */
  readonly getBytes: () => Buffer;
  /** Drops all bytes and releases their memory. */
  readonly clear: () => void;
}
