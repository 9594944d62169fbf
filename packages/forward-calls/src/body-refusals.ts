import { COLLECT_FAULTS, type CollectFault } from '@laburnumshift/collect-bytes';
import type { ERROR_TEXTS } from './error-texts.js';

/** Statuses for requests whose body could not be kept. Only a lack of memory passes. */
export const BODY_REFUSALS: Readonly<Record<CollectFault, keyof typeof ERROR_TEXTS>> = {
  [COLLECT_FAULTS.tooLong]: 413,
  [COLLECT_FAULTS.tooSmallChunks]: 400,
  [COLLECT_FAULTS.noMemory]: 503,
};
