import { createStartLimit } from './create-start-limit.js';
import type { DaemonOptions } from './daemon-options.js';
import type { DaemonSignal } from './daemon-signal.js';
import type { DaemonState } from './daemon-state.js';
import type { SignalAction } from './signal-action.js';
import { SIGNAL_ACTIONS } from './signal-actions.js';
import { watchUnhandledErrors } from './watch-unhandled-errors.js';

/**
 * Starts a daemon, keeps it until the first stop signal and stops it. A stop signal that arrives during the start takes effect when the
 * start has ended, as calls may have been accepted by then. Signals and unhandled errors keep their handlers until the process exits,
 * unless the start fails.
 *
 * @throws what `start` throws, unless a stop signal came before; what `stop` throws
 */
export async function runDaemon({ signals, logger, start }: DaemonOptions): Promise<void> {
  let state: DaemonState = 'starting';
  const stopController = new AbortController();
  const { signal: stopSignal } = stopController;
  const stopRequested = new Promise<void>((resolve) => {
    stopSignal.addEventListener('abort', () => {
      resolve();
    });
  });
  const handlers: Readonly<Record<SignalAction, (signal: DaemonSignal) => void>> = {
    stop: (signal) => {
      logger.info('stop requested', { signal, state });
      state = 'stopping';
      stopController.abort();
    },
    continueStop: (signal) => {
      logger.info('a stop is already in progress, waiting for calls', { signal });
    },
    keepSettings: (signal) => {
      logger.info('settings are read only when the process starts', { signal, state });
    },
  };
  signals.setHandler((signal) => {
    handlers[SIGNAL_ACTIONS[state][signal]](signal);
  });
  const isStopRequested = (): boolean => stopSignal.aborted;
  if (isStopRequested()) return;
  const startLimit = createStartLimit();
  stopSignal.addEventListener('abort', startLimit.begin);
  const unhandledErrors = watchUnhandledErrors(logger, startLimit.begin);
  const running = await Promise.race([start(stopSignal), startLimit.whenExceeded]).catch((error: unknown) => {
    if (!isStopRequested()) {
      unhandledErrors.stop();
      signals.release();
      throw error;
    }
    logger.info('stopped before the start had ended', { detail: String(error) });
    return undefined;
  });
  startLimit.end();
  if (running === undefined) return;
  if (running.recordUnhandledError !== undefined) unhandledErrors.setRecorder(running.recordUnhandledError);
  if (!isStopRequested()) state = 'serving';
  await Promise.race([stopRequested, ...(running.stopped === undefined ? [] : [running.stopped])]);
  state = 'stopping';
  await running.stop().catch((error: unknown) => {
    logger.error('the stop failed', { detail: String(error) });
    throw error;
  });
}
