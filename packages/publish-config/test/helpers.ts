import { createPlatformClient } from '@laburnumshift/call-platform';
import { hashSegment } from '@laburnumshift/check-declarations';
import { startFakePlatform, type FakePlatform } from '@laburnumshift/fakes/platform';
import { publishConfig, type PublishResult } from '@laburnumshift/publish-config';
import type { ConfigSegment, PlatformClient } from '@laburnumshift/types';
import type { ExecutionContext } from 'ava';

export const startPlatform = async (
  t: ExecutionContext,
): Promise<{ platform: FakePlatform; client: PlatformClient }> => {
  const platform = await startFakePlatform({ readsPerSecond: 1e6, writesPerSecond: 1e6 });
  const client = createPlatformClient({
    url: platform.url,
    readsPerSecond: 1e5,
    writesPerSecond: 1e5,
    seed: 1,
  });
  t.teardown(() => {
    client.close();
    return platform.stop();
  });
  return { platform, client };
};

/** Creates a file that declares one account. Different weights give different versions of the file. */
export const makeSegment = (
  name: string,
  weight: number,
  sha256 = hashSegment({ name } as never),
): ConfigSegment => ({
  file: `${name}.laburnum.jsonc`,
  accounts: [
    {
      name,
      keys: [{ sha256 }],
      weight,
      limits: { requestsPerSecond: 1, tokensPerSecond: 1, concurrent: 1 },
      storeBytes: 0,
    },
  ],
  services: [],
  pools: [],
  routes: [],
});

export const publish = (
  client: PlatformClient,
  segments: readonly ConfigSegment[],
  baseGeneration?: number,
): Promise<PublishResult> => publishConfig(client, { segments, author: 'ann', baseGeneration });
