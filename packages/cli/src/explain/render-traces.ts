import type { z } from 'zod';
import { formatDuration } from '../format-duration.js';
import { renderColumns } from '../render-columns.js';
import { describeStep } from './describe-step.js';
import type { TRACE_SCHEMA } from './trace-schema.js';

type Trace = z.infer<typeof TRACE_SCHEMA>[number];

const renderTrace = ({ requestId, account, service, host, steps }: Trace): readonly string[] => {
  const startedAtMs = Math.min(...steps.map((step) => step.atMs));
  const startedAt = Number.isFinite(startedAtMs) ? new Date(startedAtMs).toISOString() : 'unknown time';
  const rows = steps.flatMap(({ atMs, step, detail }) =>
    describeStep(step, detail).map((line, index) => [
      index === 0 ? `+${formatDuration(atMs - startedAtMs)}` : '',
      line,
    ]),
  );
  const heading = `Request ${requestId} of account ${account} to service ${service}, on node ${host} from ${startedAt}`;
  return [...renderColumns([[heading]]), ...renderColumns(rows, '  ')];
};

/** Renders each trace as a list of steps with times relative to its earliest step. Traces are sorted by their first step. */
export function renderTraces(traces: readonly Trace[]): string {
  const sorted = [...traces].sort((a, b) => (a.steps[0]?.atMs ?? 0) - (b.steps[0]?.atMs ?? 0));
  return sorted.map((trace) => renderTrace(trace).join('\n')).join('\n\n');
}
