import type { PlatformClient } from '@laburnumshift/types';
import { updateHead } from './update-head.js';
import type { PublishRequest } from './publish-request.js';
import type { PublishResult } from './publish-result.js';
import { buildTarget } from './build-target.js';

/**
 * Publishes segments as the next generation of the configuration. Files of the scope that are not among the segments
 * are removed. If nothing changes, no generation is created.
 */
export function publishConfig(platform: PlatformClient, request: PublishRequest): Promise<PublishResult> {
  const scopedSegments = buildTarget(request.segments, request.scope);
  const { findPosition } = request;
  return updateHead(platform, {
    action: 'publish',
    author: request.author,
    ...scopedSegments,
    baseGeneration: request.baseGeneration,
    findPosition: (file, path) =>
      findPosition !== undefined && scopedSegments.target[file] !== undefined
        ? findPosition(file.slice(scopedSegments.prefix.length), path)
        : { line: 0, column: 0 },
  });
}
