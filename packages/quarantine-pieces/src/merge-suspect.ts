import { getCrashKey } from './get-crash-key.js';
import type { CrashRecord } from './crash-record.js';
import type { Suspect } from './suspect.js';

/** Maximum number of crashes kept of a suspect; the oldest are dropped. */
const MAX_CRASHES = 48;
/** Differences up to which two times mean the same event, milliseconds: times are sent as ages and grow by the way of a message. */
const TIME_TOLERANCE_MS = 500;

const pickLater = (known: number, added: number): number =>
  added > known + TIME_TOLERANCE_MS ? added : known;

/**
 * Merges what two hosts know of a suspect. Merging is idempotent and independent of the order of messages.
 *
 * @returns `known` itself when nothing has changed
 */
export function mergeSuspect(known: Suspect | undefined, added: Suspect): Suspect {
  if (known === undefined) return added;
  const crashes = new Map(known.crashes.map((crash): [string, CrashRecord] => [getCrashKey(crash), crash]));
  for (const crash of added.crashes) {
    const earlier = crashes.get(getCrashKey(crash));
    if (earlier === undefined) crashes.set(getCrashKey(crash), crash);
  }
  const clearsMore = known.crashes.some(({ atMs }) => atMs > known.clearedAtMs && atMs <= added.clearedAtMs);
  const clearedAtMs = clearsMore ? added.clearedAtMs : pickLater(known.clearedAtMs, added.clearedAtMs);
  const trialAtMs = pickLater(known.trialAtMs, added.trialAtMs);
  const position = Math.max(known.position, added.position);
  const newest = [...crashes.values()].sort((a, b) => a.atMs - b.atMs).slice(-MAX_CRASHES);
  if (
    newest.length === known.crashes.length &&
    newest.every((crash) => known.crashes.includes(crash)) &&
    clearedAtMs === known.clearedAtMs &&
    trialAtMs === known.trialAtMs &&
    position === known.position
  )
    return known;
  return { trait: known.trait, position, crashes: newest, clearedAtMs, trialAtMs };
}
