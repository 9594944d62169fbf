import type { CrashRecord } from './crash-record.js';

/** Returns the identity of a crash, which is the same at all hosts. */
export function getCrashKey({ server, bornMs }: Pick<CrashRecord, 'server' | 'bornMs'>): string {
  return `${server}@${String(bornMs)}`;
}
