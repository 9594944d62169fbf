import { createPlatformClient } from '@laburnumshift/call-platform';
import type { PlatformClient } from '@laburnumshift/types';
import { parseUrl } from './parse-url.js';

/** Rate limits of one command: a quarter of the platform's limits, so that the nodes can use the rest. */
const WRITES_PER_SECOND = 100;
const READS_PER_SECOND = 500;

/**
 * Runs a task with a platform client and closes the client when the task settles.
 *
 * @throws UsageError if `url` is missing or is not an HTTP URL
 */
export async function callWithPlatform<T>(
  url: string | undefined,
  task: (platform: PlatformClient) => Promise<T>,
): Promise<T> {
  const platform = createPlatformClient({
    url: parseUrl('--platform', 'LABURNUMSHIFT_PLATFORM', url),
    writesPerSecond: WRITES_PER_SECOND,
    readsPerSecond: READS_PER_SECOND,
  });
  try {
    return await task(platform);
  } finally {
    platform.close();
  }
}
