/**
 * Calls the handler once after `ms` milliseconds. The timer does not keep the process alive.
 *
 * @returns a function that cancels the timer
 */
export function startTimer(ms: number, handler: () => void): () => void {
  const timer = setTimeout(handler, ms);
  timer.unref();
  return () => {
    clearTimeout(timer);
  };
}
