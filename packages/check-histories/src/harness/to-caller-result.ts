import type { EntryError } from '@laburnumshift/call-entry';
import type { CallerResult } from '../history/caller-result.js';

/** Converts the error of the caller's client. A connection that was never opened reached no node. */
export function toCallerResult(error: EntryError | undefined): CallerResult {
  if (error === undefined) return { kind: 'answered' };
  if (error.kind === 'refused') return { kind: 'refused', code: error.code, outcome: error.outcome };
  if (error.detail.includes('ECONNREFUSED')) return { kind: 'unreached' };
  return error.detail.includes('AbortError') ? { kind: 'gave-up' } : { kind: 'cut', detail: error.detail };
}
