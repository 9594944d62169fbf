import { createPlatformClient } from '@laburnumshift/call-platform';
import { checkDeclarations } from '@laburnumshift/check-declarations';
import { publishConfig } from '@laburnumshift/publish-config';

const RATES = { writesPerSecond: 50, readsPerSecond: 250 };

/**
 * Publishes declarations and returns the new generation.
 *
 * @throws when they are not accepted as a new generation
 */
export async function publishDeclarations(platformUrl: string, directory: string): Promise<number> {
  const platform = createPlatformClient({ url: platformUrl, ...RATES });
  try {
    const segments = await checkDeclarations(directory);
    const result = await publishConfig(platform, {
      segments,
      author: 'measure',
      findPosition: () => ({ line: 0, column: 0 }),
    });
    if (result.kind !== 'published') throw new Error(`not published: ${JSON.stringify(result)}`);
    return result.head.generation;
  } finally {
    platform.close();
  }
}
