/** Watches the memory of the process until it is stopped. */
export interface MemoryWatch {
  /** Notes bytes that were read from connections; the memory is looked at earlier when they are many. */
  readonly observeReadBytes: (bytes: number) => void;
  readonly stop: () => void;
}
