import type { ServerChoice } from '@laburnumshift/choose-server';
import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';

/** Creates a placement request with defaults for tests. */
export function createPlacementRequest(changes: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    callId: 'c',
    service: 'm',
    prompt: undefined,
    cacheOwner: 'shared',
    priority: 1,
    targetMs: 1000,
    remainingMs: 10_000,
    waitedMs: 0,
    bodyBytes: 100,
    failureDomain: 'a',
    isResend: false,
    excluded: [],
    ...changes,
  };
}

/** Creates a backend server with defaults for tests. */
export function createServer(id: string, changes: Partial<BackendEntry> = {}): BackendEntry {
  return {
    id,
    service: 'm',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    slots: 8,
    isDraining: false,
    bornMs: 5,
    versions: new Map([['model', 1]]),
    orderMark: undefined,
    ...changes,
  };
}

/** Creates a choice of a server with defaults for tests. */
export function createChoice(
  id: string,
  changes: Partial<Extract<ServerChoice, { kind: 'server' }>> = {},
): ServerChoice {
  return {
    kind: 'server',
    server: createServer(id),
    uncachedTokens: 0,
    queueTokens: 0,
    expectedMs: 0,
    memoryShare: undefined,
    fetch: undefined,
    transfers: undefined,
    version: undefined,
    ...changes,
  };
}
