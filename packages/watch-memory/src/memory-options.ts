/** Options of `watchMemory`. */
export interface MemoryOptions {
  /** Memory of the machine, bytes. */
  readonly memoryBytes: number;
  /** Returns the resident memory of the process, and the size of its buffers outside the heap with their garbage, bytes. */
  readonly readMemory: () => { readonly rss: number; readonly arrayBuffers: number };
  /** Collects all garbage; `undefined` when the runtime was started without `--expose-gc`. */
  readonly collectGarbage: (() => void) | undefined;
  /** Called after each collection. */
  readonly onCollected: () => void;
}
