import type { SourceEndInput } from './source-end-input.js';

/** Number of answers of the same process after which it has not ended: the first may have been sent before the end. */
const MIN_ALIVE = 2;
/** Number of unanswered probes, and the time that they span in milliseconds, after which an unregistered engine is unreachable. */
const MIN_SILENT = 3;
const MIN_SILENT_MS = 1500;

/**
 * Decides whether the engine that had a run has ended, so that the run may continue elsewhere. Silence alone never shows that: the
 * engine may still work. Load: the probes of one broken run with a copy, a few in two seconds.
 */
export function decideSourceEnd(input: SourceEndInput): 'ended' | 'not-ended' | 'ask-again' {
  const { evidence, elapsedMs, isUnregistered, boundMs } = input;
  if (evidence.some((one) => one === 'refused' || one === 'replaced')) return 'ended';
  if (evidence.filter((one) => one === 'alive').length >= MIN_ALIVE) return 'not-ended';
  const latest = evidence.slice(-MIN_SILENT);
  const isSilent = latest.length === MIN_SILENT && latest.every((one) => one === 'silent');
  if (isUnregistered && isSilent && elapsedMs >= MIN_SILENT_MS) return 'ended';
  return elapsedMs >= boundMs ? 'not-ended' : 'ask-again';
}
