import type { RunState } from './run-state.js';

/** Records a step of a run, with its run id, in the trace of its request. */
export function traceRun(state: RunState, step: string, detail: Readonly<Record<string, unknown>>): void {
  const { request, service, deps, runId } = state;
  deps.recordTrace(
    { requestId: request.requestId, account: request.account.name, service: service.name },
    step,
    {
      runId,
      ...detail,
    },
  );
}
