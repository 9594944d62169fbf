import { CALL_KINDS, type ForwardBounds, type ForwardCall } from '@laburnumshift/forward-types';
import type { FleetView } from '@laburnumshift/track-fleet';
import { matchRoute } from './match-route.js';
import type { MatchResult } from './match-result.js';
import { pickService } from './pick-service.js';

/** Retry-After while the host has no current configuration, in milliseconds. */
const CONFIG_RETRY_AFTER_MS = 500;
/**
 * Fraction of a configured bound up to which the host relies on its copy of the configuration. The bound on key revocation limits
 * the age at which keys are accepted. The bound on applying a configuration limits the age at which a route or a key that is not
 * found is reported as unknown.
 */
const MAX_CONFIG_AGE_RATIO = 0.85;
const HTTP_WITHOUT_CHUNKS = '1.0';

/** What matching reads of the host. */
interface MatchDeps {
  readonly fleet: Pick<FleetView, 'getConfig' | 'getConfigAgeMs'>;
  readonly bounds: Pick<ForwardBounds, 'revokeMs' | 'configApplyMs'>;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which selects the service of a call by weight. */
  readonly pickRandom: () => number;
}

/** Finds the route, the account and the service of a call in the configuration of this host. Changes nothing. */
export function matchCall(
  { fleet, bounds, pickRandom }: MatchDeps,
  call: Pick<ForwardCall, 'hostName' | 'target' | 'key'>,
  httpVersion: string,
): MatchResult {
  const maxKeyAgeMs = bounds.revokeMs === undefined ? Infinity : bounds.revokeMs * MAX_CONFIG_AGE_RATIO;
  const maxNotFoundAgeMs = bounds.configApplyMs * MAX_CONFIG_AGE_RATIO;
  const refuse = (
    status: Extract<MatchResult, { kind: 'refused' }>['status'],
    reason: string,
    retryAfterMs?: number,
  ): MatchResult => ({ kind: 'refused', status, reason, retryAfterMs });
  const refuseNotFound = (status: 401 | 404, reason: string): MatchResult =>
    fleet.getConfigAgeMs() <= maxNotFoundAgeMs
      ? refuse(status, reason)
      : refuse(503, `configuration is too old to tell: ${reason}`, CONFIG_RETRY_AFTER_MS);
  const config = fleet.getConfig();
  if (config === undefined) return refuse(503, 'no configuration yet', CONFIG_RETRY_AFTER_MS);
  const route = matchRoute(config.routes, call.hostName, call.target);
  if (route === undefined) return refuseNotFound(404, 'no route');
  // Without chunks such a stream would end with its connection, and a truncated one would look complete.
  if (route.kind === CALL_KINDS.stream && httpVersion === HTTP_WITHOUT_CHUNKS)
    return refuse(505, 'streams need HTTP/1.1');
  const needsKey = config.accountsByKey !== undefined && !route.isPublic;
  if (needsKey && fleet.getConfigAgeMs() > maxKeyAgeMs)
    return refuse(503, 'configuration is too old to accept keys', CONFIG_RETRY_AFTER_MS);
  const account = call.key === undefined || !needsKey ? undefined : config.accountsByKey.get(call.key);
  if (needsKey && account === undefined) return refuseNotFound(401, 'unknown key');
  const service = config.services.get(pickService(route, pickRandom()) ?? '');
  if (service === undefined) return refuse(503, 'route names no known service', CONFIG_RETRY_AFTER_MS);
  return { kind: 'matched', route, account, service };
}
