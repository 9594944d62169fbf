/** Publishes, compares and rolls back the configuration. */
export { deleteUnusedSegments } from './delete-unused-segments.js';
export { CONFIG_KINDS } from './config-kinds.js';
export { diffConfig } from './diff-config.js';
export { fetchSegments } from './fetch-segments.js';
export { listHistory } from './list-history.js';
export { publishConfig } from './publish-config.js';
export type { FileChange } from './file-change.js';
export type { PublishRequest } from './publish-request.js';
export type { PublishResult } from './publish-result.js';
export type { StoredSegment } from './stored-segment.js';
export { rollbackConfig } from './rollback-config.js';
