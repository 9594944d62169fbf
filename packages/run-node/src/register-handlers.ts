import type { PlaceReply } from '@laburnumshift/types';
import type { NodeParts } from './node-parts.js';
import { buildNodeStatus } from './build-node-status.js';

/** Registers the messages that no package registers by itself. */
export function registerHandlers(parts: NodeParts): void {
  const { mesh, homes, limiter, traces, suspects } = parts;
  mesh.handleMessage('place', async (request): Promise<PlaceReply> => {
    const home = homes.openCell(request.pool, request.cell);
    if (home === undefined) return { kind: 'refused', code: 'no_engine', retryAfterMs: 1_000 };
    return home.place(request);
  });
  mesh.handleMessage('run-finished', (report) => {
    homes.openCell(report.pool, report.cell)?.reportRun(report);
    if (report.result === 'finished') suspects.clearSuspect(report.fingerprint);
    return Promise.resolve(null);
  });
  mesh.handleMessage('engine-failed', (failure) => {
    homes.openCell(failure.pool, failure.cell)?.reportFailure(failure);
    return Promise.resolve(null);
  });
  mesh.handleMessage('share', (request) => Promise.resolve(limiter.handleShare(request)));
  mesh.handleMessage('status', () => Promise.resolve(buildNodeStatus(parts)));
  mesh.handleMessage('explain', ({ requestId }) => Promise.resolve(traces.findTraces(requestId)));
}
