import { pickCandidates } from './pick-candidates.js';
import { pickRemoteEngines } from './pick-remote-engines.js';
import type { Round } from './round.js';
import type { RoundsInput } from './rounds-input.js';

/**
 * Queue of the best engine of the home domain above which engines of other domains are compared too, milliseconds. It is many times
 * the network latency between domains.
 */
const REMOTE_QUEUE_MS = 50;

/**
 * Lists the sets of engines that are compared for a call, one set per round, until a round yields an engine. A home host starts
 * with the engines of its domain, whose state it knows directly, and adds a few of other domains; any other host starts with the
 * engines that `pickCandidates` returns. The last round has all engines, since a call waits or is refused only when no engine at all
 * has capacity. Comparing few engines keeps simultaneous calls from all choosing the one that looked idle in old state.
 */
export function listRounds<T extends { readonly id: string; readonly failureDomain: string }>(
  input: RoundsInput<T>,
): readonly Round<T>[] {
  const { engines, homeDomain, homeKey, isHolder, pickRandom } = input;
  const all: Round<T> = { listEngines: () => engines, maxQueueMs: Infinity };
  const local = engines.filter(({ failureDomain }) => failureDomain === homeDomain);
  if (local.length === 0)
    return [
      { listEngines: () => pickCandidates(engines, homeKey, isHolder, pickRandom), maxQueueMs: Infinity },
      all,
    ];
  const remote = engines.filter(({ failureDomain }) => failureDomain !== homeDomain);
  if (remote.length === 0) return [all];
  return [
    { listEngines: () => local, maxQueueMs: REMOTE_QUEUE_MS },
    { listEngines: () => [...local, ...pickRemoteEngines(remote, pickRandom)], maxQueueMs: Infinity },
    all,
  ];
}
