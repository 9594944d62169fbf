import type { CommandResult } from './command-result.js';

/** Builds the result of a command for which the platform or the node was unavailable. */
export function buildUnavailableResult(peer: 'platform' | 'node', detail: string): CommandResult {
  return { result: 'unavailable', text: `the ${peer} is unavailable: ${detail}`, value: { peer, detail } };
}
