import type { PlatformClient } from '@laburnumshift/types';
import { moveHead } from './move-head.js';
import type { PublishRequest } from './publish-request.js';
import type { PublishResult } from './publish-result.js';
import { buildTarget } from './build-target.js';

/**
 * Puts segments into force as the next generation. Files of the scope that are not among the segments are removed.
 * Segments that change nothing make no new generation.
 */
export function publishConfig(platform: PlatformClient, request: PublishRequest): Promise<PublishResult> {
  const scoped = buildTarget(request.segments, request.scope);
  const { findPosition } = request;
  return moveHead(platform, {
    action: 'publish',
    author: request.author,
    ...scoped,
    baseGeneration: request.baseGeneration,
    findPosition: (file, path) =>
      findPosition !== undefined && scoped.target[file] !== undefined
        ? findPosition(file.slice(scoped.prefix.length), path)
        : { line: 0, column: 0 },
  });
}
