import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { getCacheOwner } from './get-cache-owner.js';
import type { SizedCall } from './sized-call.js';

/** Builds the request for a server for the next attempt of a call. */
export function buildPlacementRequest(
  {
    fleet,
    failureDomain,
  }: Pick<ForwarderDependencies, 'failureDomain'> & {
    readonly fleet: Pick<ForwarderDependencies['fleet'], 'getConfig'>;
  },
  { call, route, service, account, bodyBytes }: SizedCall,
  costMs: number | undefined,
  attempt: Pick<PlacementRequest, 'remainingMs' | 'waitedMs' | 'isResend' | 'excluded'>,
): PlacementRequest {
  return {
    callId: call.id,
    service: service.name,
    prompt: call.prompt,
    cacheOwner: getCacheOwner(fleet, account),
    account: account?.name,
    priority: account?.priority ?? route.priority,
    targetMs: route.targetMs,
    bodyBytes,
    costMs,
    failureDomain,
    ...attempt,
  };
}
