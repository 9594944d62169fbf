import type { CallState } from './call-state.js';

/** Records a step of this call. */
export function traceCall(state: CallState, step: string, detail: Readonly<Record<string, unknown>>): void {
  const { job, service, deps } = state;
  deps.recordTrace(
    { requestId: job.requestId, account: job.account.name, service: service.name },
    step,
    detail,
  );
}
