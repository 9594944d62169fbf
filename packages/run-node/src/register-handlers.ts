import type { EnginePlacementReply } from '@laburnumshift/types';
import type { NodeParts } from './node-parts.js';
import { buildNodeStatus } from './build-node-status.js';

/** Registers the handlers of the node messages that no component registers itself. */
export function registerHandlers(parts: NodeParts): void {
  const { mesh, homes, limiter, traces, suspects } = parts;
  mesh.handleMessage('place', async (request): Promise<EnginePlacementReply> => {
    const home = homes.openCell(request.pool, request.cell);
    // A node that has just started may be the home before it has a configuration. The error makes the entry node decide locally.
    if (home === undefined) throw new Error('this node does not know the cell');
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
  mesh.handleMessage('share', (request) => {
    // A share of zero would stop the calls of the account through the requesting node. Without a share, that node applies the
    // limit divided by the number of nodes.
    if (parts.configWatch.getConfig()?.accounts[request.account] === undefined) {
      return Promise.reject(new Error('this node does not know the account'));
    }
    return Promise.resolve(limiter.handleShareRequest(request));
  });
  mesh.handleMessage('status', () => Promise.resolve(buildNodeStatus(parts)));
  mesh.handleMessage('explain', ({ requestId }) => Promise.resolve(traces.findTraces(requestId)));
}
