import { chooseBackup, isWorthBackup } from '@laburnumshift/continue-runs';
import { readMonotonicMs } from '@laburnumshift/clock';
import { CALL_KINDS } from '@laburnumshift/forward-types';
import { buildTargetInput } from './build-target-input.js';
import type { EngineChoice } from './engine-choice.js';
import { estimateOutputTokens } from './estimate-output-tokens.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { isAtRisk } from './is-at-risk.js';
import type { MatchedCall } from './matched-call.js';
import type { RunBackup } from './run-backup.js';

/**
 * Chooses the engine that gets a copy of a run, from what this host knows. Returns `undefined` for no copy, as always where the
 * configuration of the service has no backups.
 */
export function chooseRunBackup(
  deps: ForwarderDependencies,
  { service, route, call, endsAtMs }: MatchedCall,
  choice: EngineChoice,
  run: { readonly isRepeatable: boolean; readonly excluded: ReadonlySet<string> },
): RunBackup | undefined {
  const { engine } = service;
  const { prompt } = call;
  if (engine?.hasBackups !== true || prompt === undefined || choice.transfers === undefined) return undefined;
  const { copies, tokenTimes, engineLifeMs } = deps.runCopies;
  const outputTokens = estimateOutputTokens(prompt);
  const facts = {
    isStream: route.kind === CALL_KINDS.stream,
    isRepeatable: run.isRepeatable,
    engineLifeMs,
    isSourceAtRisk: isAtRisk(deps, choice.server.id),
    expectedRunMs: choice.expectedMs + outputTokens * tokenTimes.getTokenMs(service.name),
    remainingMs: endsAtMs - readMonotonicMs(),
    outputTokens,
    copies: copies.countAll(),
  };
  if (!isWorthBackup(facts)) return undefined;
  const backup = chooseBackup({
    ...buildTargetInput(deps, { ...service, engine }, prompt, choice, run.excluded),
    run: facts,
  });
  const server = backup && deps.fleet.getBackend(backup.id);
  if (backup === undefined || server === undefined) return undefined;
  return { server, choice: backup, release: copies.addCopy(server.id) };
}
