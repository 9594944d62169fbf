import { readMonotonicMs } from '@laburnumshift/clock';
import { chooseSystem } from '@laburnumshift/route-cutover';
import { findOutcome, runCall, type CallDependencies } from '@laburnumshift/run-call';
import { runCompletion, type CompletionDependencies } from '@laburnumshift/run-completion';
import type { AuthenticatedCompletion, CallerHandlers } from '@laburnumshift/serve-callers';
import type { CutoverConfig, Result, RunOutputItem, ServingSystem } from '@laburnumshift/types';
import type { NodeParts } from './node-parts.js';

/** Creates the handlers with which the server for callers runs completions and calls, and records their metrics. */
export function createCallerHandlers(parts: NodeParts, isReady: () => boolean): CallerHandlers {
  const { configWatch, limiter, peers, placer, registry, servers, traces, metrics } = parts;
  const reserveQuota = (account: string, tokens: number): Result<() => void, number> => {
    const permit = limiter.admitCall(account, tokens);
    return permit.kind === 'admitted'
      ? {
          ok: true,
          value: () => {
            permit.release();
          },
        }
      : { ok: false, error: permit.retryAfterMs };
  };
  const shared = {
    getConfig: configWatch.getConfig,
    retryBudget: parts.retryBudget,
    recordTrace: traces.recordStep,
    reserveQuota,
    getOlderSystem: peers.getOlder,
    chooseSystem: (account: string, conversation: string, cutover: CutoverConfig): ServingSystem =>
      chooseSystem(account, conversation, cutover.olderShare),
  };
  const completion: CompletionDependencies = {
    ...shared,
    place: placer.place,
    rankCells: placer.rankCells,
    getEngineClient: peers.getEngine,
    reportRun: placer.reportRun,
    reportEngineFailure: placer.reportFailure,
    quarantine: parts.quarantine,
    bootIds: parts.bootIds,
  };
  const call: CallDependencies = {
    ...shared,
    getServiceClient: (name, url) => peers.getService({ name, url }),
    isServerUsable: servers.isUsable,
    getQueueLength: servers.getQueue,
    reportServerState: servers.reportServer,
    journal: parts.journal,
    getSelf: parts.membership.getSelf,
    retentionMs: parts.settings.journal.retentionMs,
  };

  /** Callers choose the name. Only declared services get their own metric series, which bounds the memory for series. */
  const toLabel = (name: string): string =>
    configWatch.getConfig()?.services[name] === undefined ? 'undeclared' : name;

  async function* streamRun(
    request: AuthenticatedCompletion,
    signal: AbortSignal,
  ): AsyncGenerator<RunOutputItem, void> {
    const labels = { service: toLabel(request.service) };
    const runRequest = {
      account: request.account.name,
      requestId: request.requestId,
      hasCallerId: request.hasCallerId,
      bodyHash: request.bodyHash,
      startOffset: request.startOffset,
    };
    const run = registry.attachRun(
      runRequest,
      (emit, stop) => runCompletion(request, completion, emit, stop),
      signal,
    );
    let first = true;
    for await (const item of run) {
      if (first && item.kind === 'token') {
        metrics.recordDuration('first_token_ms', readMonotonicMs() - request.acceptedAtMs, labels);
        first = false;
      }
      if (item.kind === 'end') {
        const result = item.end.kind === 'finished' ? 'finished' : item.end.refusal.code;
        metrics.addToCounter('completions_total', { ...labels, result });
      }
      yield item;
    }
  }

  return {
    getConfig: configWatch.getConfig,
    isReady,
    runCompletion: streamRun,
    runCall: async (request, signal) => {
      const answer = await runCall(request, call, signal);
      const result = answer.ok ? 'answered' : answer.error.code;
      const labels = { service: toLabel(request.service) };
      metrics.addToCounter('calls_total', { ...labels, result });
      metrics.recordDuration('call_ms', readMonotonicMs() - request.acceptedAtMs, labels);
      return answer;
    },
    findOutcome: (query) => findOutcome(query, call),
  };
}
