import { startLoop } from './start-loop.js';

/**
 * Runs a task repeatedly like `startLoop`.
 *
 * @returns a function that stops the loop after the current run
 */
export function runEvery(...options: Parameters<typeof startLoop>): () => void {
  return startLoop(...options).stop;
}
