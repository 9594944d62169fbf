import { sleep } from '@laburnumshift/clock';
import type { PlatformAnswer } from './platform-answer.js';
import { NO_FAULTS } from './no-faults.js';
import type { PlatformCall } from './platform-call.js';
import type { PlatformFaults } from './platform-faults.js';

/** The fault switches with their effect before and after the handling of a call. */
interface FaultTable {
  readonly setFaults: (faults: Partial<PlatformFaults>) => void;
  readonly getFaults: () => PlatformFaults;
  /** Returns the answer that a fault gives instead of the handler's, if any. */
  readonly applyBefore: (type: string, call: PlatformCall) => Promise<PlatformAnswer | undefined>;
  /** Returns the answer as faults leave it. */
  readonly applyAfter: (type: string, call: PlatformCall, answer: PlatformAnswer) => PlatformAnswer;
}

/** Creates the table with all switches off. */
export function createFaultTable(): FaultTable {
  let faults = NO_FAULTS;

  const isLossy = (type: string, call: PlatformCall): boolean =>
    (type === 'write' || type === 'delete') && (faults.lossKind === '' || faults.lossKind === call.path[1]);

  const takeOne = (name: 'loseAnswerAfter' | 'loseAnswerBefore'): boolean => {
    const left = faults[name];
    if (left > 0) faults = { ...faults, [name]: left - 1 };
    return left !== 0;
  };

  return {
    setFaults: (changes) => {
      faults = { ...faults, ...changes };
    },
    getFaults: () => faults,
    applyBefore: async (type, call) => {
      if (faults.slowMs > 0) await sleep(faults.slowMs, call.signal);
      if (faults.unreachable) return { kind: 'lost' };
      if (faults.silent || (faults.muteWatch && type === 'watch')) return { kind: 'mute' };
      if (faults.down) return { kind: 'answer', status: 503, body: {} };
      if (isLossy(type, call) && takeOne('loseAnswerBefore')) return { kind: 'lost' };
      return undefined;
    },
    applyAfter: (type, call, answer) =>
      isLossy(type, call) && answer.kind === 'answer' && answer.status === 200 && takeOne('loseAnswerAfter')
        ? { kind: 'lost' }
        : answer,
  };
}
