import { readMonotonicMs, startTimer } from '@laburnumshift/clock';

/** Time without platform and peers after which a node cannot know what is in force. */
const STALE_AFTER_MS = 10_000;

/** Follows when the platform or a peer answered last. */
interface ContactTracker {
  readonly recordContact: () => void;
  readonly isStale: () => boolean;
  readonly onStaleChange: (handler: (stale: boolean) => void) => () => void;
  readonly close: () => void;
}

/** Creates a tracker; its creation counts as a contact, so that a starting node has the same time as a running one. */
export function createContactTracker(): ContactTracker {
  const handlers = new Set<(stale: boolean) => void>();
  let contactAt = readMonotonicMs();
  let reported = false;
  let cancelTimer: () => void;

  const isStale = (): boolean => readMonotonicMs() - contactAt > STALE_AFTER_MS;

  const reportChange = (): void => {
    const stale = isStale();
    if (stale === reported) return;
    reported = stale;
    for (const handler of [...handlers]) handler(stale);
  };
  const scheduleReport = (): void => {
    const leftMs = STALE_AFTER_MS - (readMonotonicMs() - contactAt);
    cancelTimer = startTimer(Math.ceil(leftMs) + 1, () => {
      if (isStale()) reportChange();
      else scheduleReport();
    });
  };
  scheduleReport();

  return {
    recordContact: () => {
      contactAt = readMonotonicMs();
      if (!reported) return;
      reportChange();
      scheduleReport();
    },
    isStale,
    onStaleChange: (handler) => {
      handlers.add(handler);
      return () => handlers.delete(handler);
    },
    close: () => {
      cancelTimer();
    },
  };
}
