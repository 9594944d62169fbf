/** Tasks that run at once. With more, calls would wait for the client's rate limit until their deadlines expire. */
const BATCH_SIZE = 8;

/** Runs a task for each item in batches. Stops after the first batch with a failure and returns that failure. */
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
