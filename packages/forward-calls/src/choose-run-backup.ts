import { parseAddress } from '@laburnumshift/addresses';
import { isUsableServer } from '@laburnumshift/choose-server';
import { chooseBackup, isWorthBackup } from '@laburnumshift/continue-runs';
import { readMonotonicMs } from '@laburnumshift/clock';
import { CALL_KINDS } from '@laburnumshift/forward-types';
import type { EngineChoice } from './engine-choice.js';
import { estimateOutputTokens } from './estimate-output-tokens.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { MatchedCall } from './matched-call.js';
import type { RunBackup } from './run-backup.js';

/** Share of recent calls that failed from which on an engine counts as at risk: about two of the last eight. */
const RISK_FAILURE_SHARE = 0.2;
/**
 * Chooses the engine that gets a copy of a run, from what this host knows. Returns `undefined` for no copy, as always where the
 * configuration of the service has no backups.
 */
export function chooseRunBackup(
  deps: ForwarderDependencies,
  matchedCall: MatchedCall,
  choice: EngineChoice,
  run: { readonly isRepeatable: boolean; readonly excluded: ReadonlySet<string> },
): RunBackup | undefined {
  const { service, route, call } = matchedCall;
  const { engine } = service;
  const { prompt } = call;
  if (engine?.hasBackups !== true || prompt === undefined || choice.transfers === undefined) return undefined;
  const { copies, tokenTimes } = deps.runCopies;
  const isAtRisk = (server: string): boolean =>
    deps.serverTracker.getState(server).failureShare >= RISK_FAILURE_SHARE;
  const outputTokens = estimateOutputTokens(prompt);
  const facts = {
    isStream: route.kind === CALL_KINDS.stream,
    isRepeatable: run.isRepeatable,
    isSourceAtRisk: isAtRisk(choice.server.id),
    expectedRunMs: choice.expectedMs + outputTokens * tokenTimes.getTokenMs(service.name),
    remainingMs: matchedCall.endsAtMs - readMonotonicMs(),
    outputTokens,
    copies: copies.countAll(),
  };
  if (!isWorthBackup(facts)) return undefined;
  const servers = deps.fleet
    .listBackends(service.name)
    .filter(
      (server) =>
        server.id !== choice.server.id &&
        !run.excluded.has(server.id) &&
        isUsableServer(deps, server, { model: prompt.model, version: choice.version }),
    );
  const describeServer = ({ id, address, failureDomain }: EngineChoice['server']) => ({
    id,
    machine: parseAddress(address).host,
    failureDomain,
  });
  const backup = chooseBackup({
    run: facts,
    tokens: prompt.inputTokens + outputTokens,
    source: describeServer(choice.server),
    version: choice.version,
    capacityTokens: engine.capacityTokens,
    bytesPerToken: engine.bytesPerToken,
    linkMbps: engine.linkMbps,
    candidates: servers.map((server) => ({
      ...describeServer(server),
      version: server.versions.get(prompt.model),
      heldTokens:
        deps.serverTracker.getState(server.id).heldTokens +
        deps.sharing.getLoadOfOthers(server.id).heldTokens,
      isAtRisk: isAtRisk(server.id),
      copies: copies.countAt(server.id),
    })),
  });
  const server = servers.find(({ id }) => id === backup?.id);
  if (backup === undefined || server === undefined) return undefined;
  return { server, choice: backup, release: copies.addCopy(server.id) };
}
