import { match } from 'ts-pattern';
import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** Returns the entry of a call after one more record. A record of a different attempt than the entry's is ignored. */
export function applyRecord(entry: CallEntry | undefined, record: JournalRecord): CallEntry | undefined {
  if (record.type === 'started') {
    if (entry !== undefined) return entry;
    const { id, bodyHash, attemptId, node, incarnation, system, at } = record;
    return { id, bodyHash, attemptId, node, incarnation, system, at, state: 'started' };
  }
  if (entry?.attemptId !== record.attemptId || entry.state === 'finished') return entry;
  return match(record)
    .with({ type: 'finished' }, ({ answer }): CallEntry => ({ ...entry, state: 'finished', answer }))
    .with({ type: 'unknown' }, (): CallEntry => ({ ...entry, state: 'unknown' }))
    .with({ type: 'abandoned' }, () => undefined)
    .exhaustive();
}
