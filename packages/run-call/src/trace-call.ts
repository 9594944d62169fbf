import type { CallState } from './call-state.js';

/** Records a step of a call in the trace of its request. */
export function traceCall(state: CallState, step: string, detail: Readonly<Record<string, unknown>>): void {
  const { request, service, deps } = state;
  deps.recordTrace(
    { requestId: request.requestId, account: request.account.name, service: service.name },
    step,
    detail,
  );
}
