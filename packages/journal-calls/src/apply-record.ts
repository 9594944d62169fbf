import { match } from 'ts-pattern';
import type { CallEntry } from './call-entry.js';
import type { JournalRecord } from './journal-record.js';

/** Applies a record to the entry of its call. Records of another attempt than the entry's change nothing. */
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
