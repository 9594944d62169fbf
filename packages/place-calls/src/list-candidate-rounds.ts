import { pickCandidates } from './pick-candidates.js';
import { pickRemoteEngines } from './pick-remote-engines.js';
import type { CandidateRound } from './candidate-round.js';
import type { CandidateRoundsInput } from './candidate-rounds-input.js';

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
export function listCandidateRounds<T extends { readonly id: string; readonly failureDomain: string }>(
  input: CandidateRoundsInput<T>,
): readonly CandidateRound<T>[] {
  const { engines, homeDomain, affinityKey, hasPrefix, pickRandom } = input;
  const all: CandidateRound<T> = { listEngines: () => engines, maxQueueMs: Infinity };
  const local = engines.filter(({ failureDomain }) => failureDomain === homeDomain);
  if (local.length === 0)
    return [
      {
        listEngines: () => pickCandidates(engines, affinityKey, hasPrefix, pickRandom),
        maxQueueMs: Infinity,
      },
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
