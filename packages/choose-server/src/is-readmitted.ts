import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendEntry } from '@laburnumshift/forward-types';

/**
 * Time after the end of an evacuation in which the part of the calls that may go to the failure domain grows from 0 to 1, milliseconds:
 * the time in which an engine that became cold is warm again.
 */
const RAMP_MS = 3000;
/** FNV-1a, 32 bits. */
const HASH_OFFSET = 2_166_136_261;
const HASH_PRIME = 16_777_619;
const HASH_RANGE = 2 ** 32;

/** Returns a number from 0 to 1 that is the same for each decision about a call, so that waiting calls do not draw again. */
const computePart = (callId: string): number => {
  let hash = HASH_OFFSET;
  for (let index = 0; index < callId.length; index += 1)
    hash = Math.imul(hash ^ callId.charCodeAt(index), HASH_PRIME);
  // The low bits vary most between similar ids.
  return (Math.imul(hash, HASH_PRIME) >>> 0) / HASH_RANGE;
};

/** Tells whether a call may go to a server whose failure domain was evacuated until lately, while other servers are left. */
export function isReadmitted({ readmittedMs }: BackendEntry, callId: string): boolean {
  if (readmittedMs === undefined) return true;
  const elapsedMs = readMonotonicMs() - readmittedMs;
  return elapsedMs >= RAMP_MS || computePart(callId) * RAMP_MS < elapsedMs;
}
