import { createPlatformClient } from '@laburnumshift/call-platform';
import type { PlatformClient } from '@laburnumshift/types';
import { parseUrl } from './parse-url.js';

/** Budget of one command; a quarter of the platform's rates leaves the daemons their part. */
const WRITES_PER_SECOND = 100;
const READS_PER_SECOND = 500;

/** Runs a task with a platform client and closes it. */
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
