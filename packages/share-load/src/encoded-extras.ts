import type { EngineRun, ServerCondition } from '@laburnumshift/track-engines';
import type { EncodedWork } from './encoded-work.js';

/** Work of the calls that the loads of a message cover, recent conditions of servers, and run times of a host's calls, as sent. */
export type EncodedExtras = readonly [
  works: readonly EncodedWork[],
  conditions: readonly ServerCondition[],
  engineRuns: readonly EngineRun[],
];
