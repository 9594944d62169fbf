import type { Logger } from '@laburnumshift/logger';

type ErrorRecorder = (kind: string, error: unknown) => void;

/**
 * Keeps the process running after errors that no handler caught, which would end the calls of all handlers. Logs them.
 *
 * @param onError called before the error is recorded, until there is another recorder
 */
export function watchUnhandledErrors(
  logger: Logger,
  onError: () => void,
): {
  /** Sets what records these errors from then on. */
  readonly setRecorder: (recorder: ErrorRecorder) => void;
  /** Restores the default effect of these errors. */
  readonly stop: () => void;
} {
  let recordError: ErrorRecorder = (kind, error) => {
    onError();
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    logger.error('unhandled error', { kind, detail });
  };
  const listeners = (['uncaughtException', 'unhandledRejection'] as const).map((kind) => {
    const handleError = (error: unknown): void => {
      recordError(kind, error);
    };
    process.on(kind, handleError);
    return { kind, handleError };
  });
  return {
    setRecorder: (recorder) => {
      recordError = recorder;
    },
    stop: () => {
      for (const { kind, handleError } of listeners) process.off(kind, handleError);
    },
  };
}
