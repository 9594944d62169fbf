/** A node that runs in a process of its own. */
export interface NodeProcess {
  readonly meshAddress: string;
  readonly operatorsUrl: string;
  readonly readUse: () => Promise<{
    /** Resident memory, bytes. */
    readonly rss: number;
    /** Heap and buffers after a collection, bytes. */
    readonly held: number;
    /** Processor time so far, microseconds. */
    readonly us: number;
  }>;
  readonly stop: () => void;
}
