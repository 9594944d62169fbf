import { readWallMs } from '@laburnumshift/clock';
import type { RequestTrace, TraceStep } from '@laburnumshift/types';
import type { TraceStore } from './trace-store.js';

/** Maximum number of traces. With 20 steps of about 300 bytes each, they use 12 MB. */
const MAX_REQUESTS = 2_000;
const MAX_STEPS = 40;

/** Creates the trace store of a node. It keeps 2,000 traces of up to 40 steps; older traces and further steps are dropped. */
export function createTraceStore(host: string): TraceStore {
  const traces = new Map<string, RequestTrace & { readonly steps: TraceStep[] }>();
  return {
    recordStep: ({ requestId, account, service }, step, detail) => {
      const key = `${account}\0${requestId}`;
      let trace = traces.get(key);
      if (trace === undefined) {
        trace = { requestId, account, service, host, steps: [] };
        traces.set(key, trace);
        const oldest = traces.size > MAX_REQUESTS ? traces.keys().next().value : undefined;
        if (oldest !== undefined) traces.delete(oldest);
      }
      if (trace.steps.length < MAX_STEPS) trace.steps.push({ atMs: readWallMs(), step, detail });
    },
    findTraces: (requestId) => [...traces.values()].filter((trace) => trace.requestId === requestId),
  };
}
