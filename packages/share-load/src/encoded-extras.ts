import type { ServerCondition } from '@laburnumshift/track-engines';
import type { EncodedWork } from './encoded-work.js';

/** Work of the calls that the loads of a message cover, and recent conditions of servers, as sent. */
export type EncodedExtras = readonly [works: readonly EncodedWork[], conditions: readonly ServerCondition[]];
