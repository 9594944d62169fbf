import { startLoop } from './start-loop.js';

/**
 * Runs a task as `startLoop` does.
 *
 * @returns a function that stops the loop after the current run
 */
export function runEvery(...options: Parameters<typeof startLoop>): () => void {
  return startLoop(...options).stop;
}
