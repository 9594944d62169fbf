import { createHash, randomUUID } from 'node:crypto';
import type {
  CallAnswer,
  CallJournal,
  JournalDecision,
  JournalLook,
  PlatformClient,
  System,
} from '@laburnumshift/types';

/** The state of one call, kept at `call/HASH`. */
interface CallRecord {
  readonly attemptId: string;
  readonly bodyHash: string;
  readonly system: System;
  readonly answer?: CallAnswer | undefined;
  readonly abandoned?: boolean | undefined;
}

const RETRY_MS = 500;

/** Creates a journal that keeps one object for each call. The conditional update decides which attempt may run. */
export function createDirectJournal(platform: PlatformClient): CallJournal {
  const computeName = ({ account, service, key }: JournalLook): string =>
    createHash('sha256')
      .update(JSON.stringify([account, service, key]))
      .digest('hex');
  const describeRecord = (record: CallRecord): JournalDecision => {
    if (record.abandoned === true) return { kind: 'absent' };
    return record.answer === undefined
      ? { kind: 'in-progress', retryAfterMs: RETRY_MS }
      : { kind: 'finished', answer: record.answer, system: record.system };
  };
  const replaceRecord = async (
    look: JournalLook & { readonly attemptId: string },
    change: Partial<CallRecord>,
  ): Promise<boolean> => {
    const read = await platform.readObject<CallRecord>('call', computeName(look), 'journal');
    if (read.kind !== 'found' || read.object.value.attemptId !== look.attemptId) return false;
    const value = { ...read.object.value, ...change };
    const { name, version } = read.object;
    const result = await platform.writeObject('call', name, value, version, randomUUID(), 'journal');
    return result.kind === 'written';
  };
  return {
    beginCall: async (begin) => {
      const name = computeName(begin);
      const read = await platform.readObject<CallRecord>('call', name, 'journal');
      if (read.kind === 'unavailable') return read;
      const known = read.kind === 'found' ? read.object : undefined;
      if (known !== undefined && known.value.abandoned !== true) {
        return known.value.bodyHash === begin.bodyHash
          ? describeRecord(known.value)
          : { kind: 'body-differs' };
      }
      const { attemptId, bodyHash, system } = begin;
      const value: CallRecord = { attemptId, bodyHash, system };
      const version = known?.version ?? 0;
      const result = await platform.writeObject('call', name, value, version, attemptId, 'journal');
      if (result.kind === 'written') return { kind: 'run', attemptId, system };
      if (result.kind === 'conflict') return { kind: 'in-progress', retryAfterMs: RETRY_MS };
      return { kind: 'unavailable', detail: result.kind };
    },
    finishCall: (finish) => replaceRecord(finish, { answer: finish.answer }),
    abandonCall: (abandon) => replaceRecord(abandon, { abandoned: true }),
    findCall: async (look) => {
      const read = await platform.readObject<CallRecord>('call', computeName(look), 'journal');
      if (read.kind === 'unavailable') return read;
      return read.kind === 'found' ? describeRecord(read.object.value) : { kind: 'absent' };
    },
    close: () => Promise.resolve(),
  };
}
