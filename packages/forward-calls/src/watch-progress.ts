import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendEntry } from '@laburnumshift/forward-types';
import { checkStalledCall } from './check-stalled-call.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { ProgressWatch } from './progress-watch.js';
import type { StallReport } from './stall-report.js';

/** Milliseconds without progress after which the server is polled: longer than the usual pauses of a healthy stream. */
const POLL_AFTER_MS = 700;
/** Multiple of the expected time until the first event after which the server is polled. */
const FIRST_EVENT_FACTOR = 1.25;
/** Interval between polls, in milliseconds; the longer one applies once the server has answered. */
const POLL_INTERVAL_MS = 250;
const ALIVE_POLL_INTERVAL_MS = 1200;
/** Number of polls without progress from which on the longer interval applies. */
const QUICK_POLLS = 2;
/**
 * Milliseconds without progress after which a retryable call is abandoned if its server does not list its running calls: at engines
 * and at other services.
 */
const ENGINE_STALL_TIMEOUT_MS = 4000;
const SERVICE_STALL_TIMEOUT_MS = 2000;
/** Least rate at which the body of a call is taken to reach its server, in bytes per second: a small part of a narrow link. */
const MIN_UPLOAD_RATE = 64_000;
/** Longest time for which an engine fetches the pieces of a call, in milliseconds; it lists the call nowhere meanwhile. */
const MAX_FETCH_MS = 3000;
/** Number of reports that are kept. */
const MAX_REPORTS = 4;

/** Parameters of the progress watch of one call. */
interface ProgressWatchInput {
  readonly callId: string;
  readonly server: BackendEntry;
  /** True when another attempt can follow if the call is abandoned. */
  readonly canRetry: () => boolean;
  readonly isEngine: boolean;
  /** Size of the body of the call. */
  readonly bodyBytes: number;
  /** Whether the call begins with a fetch of cached pieces. */
  readonly hasFetch: boolean;
  /** Expected time until the first event, in milliseconds. */
  readonly expectedMs: number;
  /** Called with the reason when the call is to be abandoned. */
  readonly onStalled: (reason: string) => void;
}

/** Watches the progress of a call that is being sent, and polls its server for the state of the call when there is none. */
export function watchProgress(
  deps: Pick<ForwarderDependencies, 'startStallChecks' | 'probeServer'>,
  input: ProgressWatchInput,
): ProgressWatch {
  const { callId, server, canRetry, isEngine } = input;
  const stallTimeoutMs = isEngine ? ENGINE_STALL_TIMEOUT_MS : SERVICE_STALL_TIMEOUT_MS;
  let reports: StallReport[] = [];
  let lastProgressMs = readMonotonicMs();
  const arrivedByMs =
    lastProgressMs + (input.bodyBytes / MIN_UPLOAD_RATE) * 1000 + (input.hasFetch ? MAX_FETCH_MS : 0);
  let pollAfterMs = Math.max(POLL_AFTER_MS, input.expectedMs * FIRST_EVENT_FACTOR);
  let nextPollMs = -Infinity;
  let pollCount = 0;
  let isPolling = false;
  let isWatching = true;
  let isPaused = false;
  let hasProgress = false;

  const pollServer = async (): Promise<void> => {
    isPolling = true;
    const polledProgressMs = lastProgressMs;
    const result = await deps.probeServer(server);
    isPolling = false;
    if (!isWatching || isPaused || polledProgressMs !== lastProgressMs) return;
    const now = readMonotonicMs();
    const isArriving = !hasProgress && now < arrivedByMs;
    // What a server lists before a call has arrived, and its fetch is over, says nothing about the call.
    reports =
      isArriving && result.kind === 'alive' ? [] : [...reports, { result, atMs: now }].slice(-MAX_REPORTS);
    pollCount += 1;
    const isQuick = result.kind !== 'alive' || pollCount < QUICK_POLLS;
    nextPollMs = now + (isQuick ? POLL_INTERVAL_MS : ALIVE_POLL_INTERVAL_MS);
    const silentMs = now - lastProgressMs;
    const reason = checkStalledCall({
      callId,
      silentMs,
      canRetry: canRetry(),
      stallTimeoutMs,
      reports,
    });
    if (reason !== undefined) input.onStalled(reason);
  };
  const stopStallChecks = deps.startStallChecks(() => {
    const now = readMonotonicMs();
    if (!isPolling && !isPaused && now - lastProgressMs >= pollAfterMs && now >= nextPollMs)
      void pollServer();
  });
  const observeProgress = (): void => {
    hasProgress = true;
    lastProgressMs = readMonotonicMs();
    pollAfterMs = POLL_AFTER_MS;
    reports = [];
    pollCount = 0;
  };
  return {
    observeProgress,
    setPaused: (value) => {
      isPaused = value;
      observeProgress();
    },
    stop: () => {
      isWatching = false;
      stopStallChecks();
    },
  };
}
