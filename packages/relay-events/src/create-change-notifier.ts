import { startTimer } from '@laburnumshift/clock';
import type { ChangeNotifier } from './change-notifier.js';
import type { EventsRelayOptions } from './events-relay-options.js';
import { RELAY_TIMING } from './relay-timing.js';

/** Creates a notifier without pending long polls. A kind that `readObjects` does not know counts as changed. */
export function createChangeNotifier({
  readObjects,
}: Pick<EventsRelayOptions, 'readObjects'>): ChangeNotifier {
  const checks = new Set<() => void>();
  let isNotifying = false;
  const hasChanges = (wanted: readonly (readonly [string, number])[]): boolean =>
    wanted.some(([kind, after]) => readObjects(kind, after)?.changes.length !== 0);
  return {
    waitForChanges: (wanted, waitMs) =>
      new Promise((resolve) => {
        if (hasChanges(wanted)) {
          resolve();
          return;
        }
        const check = (): void => {
          if (hasChanges(wanted)) finish();
        };
        const finish = (): void => {
          stopTimer();
          checks.delete(check);
          resolve();
        };
        const stopTimer = startTimer(waitMs, finish);
        checks.add(check);
      }),
    notifyChanged: () => {
      if (isNotifying || checks.size === 0) return;
      isNotifying = true;
      startTimer(RELAY_TIMING.notifyDelayMs, () => {
        isNotifying = false;
        for (const check of [...checks]) check();
      });
    },
  };
}
