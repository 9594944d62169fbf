import { readMonotonicMs } from '@laburnumshift/clock';
import type { EngineControl, ProbeResult } from '@laburnumshift/forward-types';
import { FORWARDER_TIMINGS } from './forwarder-timings.js';

/** Wraps `probeServer` so that the calls waiting at one server share a report for a short time, because each poll has a cost. */
export function createSharedReportReader(
  probeServer: EngineControl['probeServer'],
): EngineControl['probeServer'] {
  const cachedReports = new Map<
    string,
    { readonly report: Promise<ProbeResult>; readonly untilMs: number }
  >();
  return ({ id, address }) => {
    const now = readMonotonicMs();
    const cached = cachedReports.get(id);
    if (cached !== undefined && cached.untilMs > now) return cached.report;
    for (const [cachedId, { untilMs }] of cachedReports) if (untilMs <= now) cachedReports.delete(cachedId);
    const report = probeServer({ id, address });
    cachedReports.set(id, { report, untilMs: now + FORWARDER_TIMINGS.maxReportAgeMs });
    return report;
  };
}
