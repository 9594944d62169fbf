import type { CrashRecord } from './crash-record.js';
import type { Suspect } from './suspect.js';

/** Lists the crashes of a suspect since it was last cleared. */
export function listCountedCrashes({
  crashes,
  clearedAtMs,
}: Pick<Suspect, 'crashes' | 'clearedAtMs'>): readonly CrashRecord[] {
  return crashes.filter(({ atMs }) => atMs > clearedAtMs);
}
