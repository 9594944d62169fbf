import type { RunState } from './run-state.js';

/** Records a step of this run. */
export function traceStep(state: RunState, step: string, detail: Readonly<Record<string, unknown>>): void {
  const { job, service, deps, runId } = state;
  deps.recordTrace({ requestId: job.requestId, account: job.account.name, service: service.name }, step, {
    runId,
    ...detail,
  });
}
