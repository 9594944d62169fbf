import { startTimer } from './start-timer.js';

/**
 * Creates one periodic timer for many handlers, so that the process wakes up only once per period. The timer runs only while
 * there are handlers and does not keep the process alive.
 *
 * @returns a function that adds a handler and returns a function that removes it
 */
export function createSharedInterval(periodMs: number): (handler: () => void) => () => void {
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
