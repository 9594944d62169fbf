/** Calls in flight at once; more would wait for the call budget until their deadlines pass. */
const BATCH_SIZE = 8;

/** Runs a task for each item, a batch at a time, and stops at the first failure. */
export async function runBatches<T, F>(
  items: readonly T[],
  task: (item: T) => Promise<F | undefined>,
): Promise<F | undefined> {
  for (let start = 0; start < items.length; start += BATCH_SIZE) {
    const results = await Promise.all(items.slice(start, start + BATCH_SIZE).map(task));
    const failure = results.find((result) => result !== undefined);
    if (failure !== undefined) return failure;
  }
  return undefined;
}
