import { startTimer } from './start-timer.js';

/**
 * Creates one timer for many handlers, so that a process with many of them wakes up once a period. It runs only while there are
 * handlers, and does not keep the process alive.
 *
 * @returns adds a handler, which is called each period until the function that was returned for it is called
 */
export function createSharedTimer(periodMs: number): (handler: () => void) => () => void {
  const handlers = new Set<{ readonly call: () => void }>();
  let isRunning = false;
  const startPeriod = (): void => {
    isRunning = handlers.size > 0;
    if (isRunning) startTimer(periodMs, runHandlers);
  };
  const runHandlers = (): void => {
    for (const handler of [...handlers]) if (handlers.has(handler)) handler.call();
    startPeriod();
  };
  return (handler) => {
    const entry = { call: handler };
    handlers.add(entry);
    if (!isRunning) startPeriod();
    return () => {
      handlers.delete(entry);
    };
  };
}
