import { readMonotonicMs, startTimer } from '@laburnumshift/clock';

/** Time without an answer of the platform or a peer after which the configuration counts as stale, milliseconds. */
const STALE_AFTER_MS = 10_000;

/** Tracks the time since the platform or a peer last answered. */
interface ContactTracker {
  /** Records an answer or a message. */
  readonly recordContact: () => void;
  readonly isStale: () => boolean;
  readonly onStaleChange: (handler: (stale: boolean) => void) => () => void;
  readonly close: () => void;
}

/** Creates a contact tracker. Its creation counts as a contact, so that a starting node is not stale at once. */
export function createContactTracker(): ContactTracker {
  const handlers = new Set<(stale: boolean) => void>();
  let lastContactMs = readMonotonicMs();
  let isReportedStale = false;
  let cancelTimer: () => void;

  const isStale = (): boolean => readMonotonicMs() - lastContactMs > STALE_AFTER_MS;

  const reportChange = (): void => {
    const stale = isStale();
    if (stale === isReportedStale) return;
    isReportedStale = stale;
    for (const handler of [...handlers]) handler(stale);
  };
  const scheduleReport = (): void => {
    const remainingMs = STALE_AFTER_MS - (readMonotonicMs() - lastContactMs);
    cancelTimer = startTimer(Math.ceil(remainingMs) + 1, () => {
      if (isStale()) reportChange();
      else scheduleReport();
    });
  };
  scheduleReport();

  return {
    recordContact: () => {
      lastContactMs = readMonotonicMs();
      if (!isReportedStale) return;
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
