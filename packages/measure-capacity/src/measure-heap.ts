import { sleep } from '@laburnumshift/clock';

/** Measures the heap and buffers that a value holds, bytes; needs `--expose-gc`. */
export async function measureHeap(build: () => unknown): Promise<number> {
  const readUsed = async (): Promise<number> => {
    for (let i = 0; i < 3; i += 1) {
      globalThis.gc?.();
      await sleep(1);
    }
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  };
  const before = await readUsed();
  const held: unknown[] = [await build()];
  const after = await readUsed();
  held.length = 0;
  return Math.max(0, after - before);
}
