import { readMonotonicMs } from '@laburnumshift/clock';
import { createCrashDetector } from './create-crash-detector.js';
import { createSuspectTable } from './create-suspect-table.js';
import type { CrashQuarantine } from './crash-quarantine.js';
import type { CrashQuarantineOptions } from './crash-quarantine-options.js';
import { startSuspectSharing } from './start-suspect-sharing.js';
import type { SuspectCall } from './suspect-call.js';

/** Time for which a server must have produced an answer before its call counts as harmless, milliseconds: crashes reach hosts late. */
const SURVIVAL_MS = 250;

/** An attempt whose answer has not begun. */
interface WaitingAttempt {
  readonly call: SuspectCall;
  readonly onConvicted: (reason: string) => void;
}

/**
 * Creates the quarantine of one host. The pieces of the calls that had no answer yet when a server crashed are suspects until a call with
 * them is served. A piece that alone explains several crashes is convicted: calls with it are refused, and now and then one of them tests
 * whether it still does harm.
 */
export function createCrashQuarantine(options: CrashQuarantineOptions): CrashQuarantine {
  const table = createSuspectTable(() => options.listPeers().length + 1, options.pickRandom);
  const stopSharing = startSuspectSharing({ ...options, table });
  const waiting = new Set<WaitingAttempt>();
  const detector = createCrashDetector(options.probeServer, options.isLeaving, (crash) => {
    const suspects = crash.calls.filter(({ isExonerated }) => !isExonerated);
    if (suspects.length > 0)
      table.recordCrash(
        crash,
        suspects.flatMap(({ traits }) => traits),
      );
    options.onCrash(crash);
  });
  table.watchConvictions(() => {
    for (const attempt of [...waiting]) {
      const convicted = attempt.call.listTraits().find(({ trait }) => table.isConvicted(trait));
      if (convicted === undefined) continue;
      waiting.delete(attempt);
      attempt.onConvicted(`servers crash under ${convicted.trait}`);
    }
  });

  return {
    checkCall: (call) =>
      table.countConvicted() === 0 ? { kind: 'allowed' } : table.checkTraits(call.listTraits()),
    readVerdict: (call) => table.readVerdict(call.listTraits()),
    beginAttempt: (server, call, onConvicted) => {
      const attempt = { call, onConvicted };
      waiting.add(attempt);
      if (table.countConvicted() > 0 && table.checkTraits(call.listTraits()).kind === 'trial')
        table.startTrial(call.listTraits());
      let firstEventAtMs: number | undefined;
      let hasSurvived = false;
      const isExonerated = (): boolean =>
        firstEventAtMs !== undefined && readMonotonicMs() - firstEventAtMs >= SURVIVAL_MS;
      const recordSurvival = (beganAtMs: number): void => {
        if (hasSurvived) return;
        hasSurvived = true;
        waiting.delete(attempt);
        // Calls without a prompt are hashed, which is only worthwhile while there are suspects.
        if (call.hasPrompt || !table.isEmpty()) table.recordSurvival(call.listTraits(), beganAtMs);
      };
      return {
        observeEvents: () => {
          firstEventAtMs ??= readMonotonicMs();
          if (!hasSurvived && isExonerated()) recordSurvival(firstEventAtMs);
        },
        finish: (end) => {
          waiting.delete(attempt);
          if (end === 'whole') recordSurvival(firstEventAtMs ?? readMonotonicMs());
          if (end === 'broken')
            detector.recordBrokenCall(server, {
              callId: call.callId,
              traits: call.listTraits(),
              isExonerated: isExonerated(),
            });
        },
      };
    },
    countConvicted: table.countConvicted,
    close: stopSharing,
  };
}
