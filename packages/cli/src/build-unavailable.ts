import type { CommandResult } from './command-result.js';

/** Builds the result of a command whose peer did not answer. */
export function buildUnavailable(peer: 'platform' | 'node', detail: string): CommandResult {
  return { result: 'unavailable', text: `the ${peer} is unavailable: ${detail}`, value: { peer, detail } };
}
