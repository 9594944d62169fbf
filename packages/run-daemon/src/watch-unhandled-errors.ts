import type { Logger } from '@laburnumshift/logger';

type ErrorRecorder = (kind: string, error: unknown) => void;

/**
 * Keeps the process running after errors that no handler caught, which would end the calls of all handlers. Logs them.
 *
 * @returns a function that sets what records these errors from then on
 */
export function watchUnhandledErrors(logger: Logger): (recorder: ErrorRecorder) => void {
  let recordError: ErrorRecorder = (kind, error) => {
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    logger.error('unhandled error', { kind, detail });
  };
  for (const kind of ['uncaughtException', 'unhandledRejection'] as const)
    process.on(kind, (error: unknown) => {
      recordError(kind, error);
    });
  return (recorder) => {
    recordError = recorder;
  };
}
