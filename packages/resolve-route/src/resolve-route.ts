import { createRefusal } from '@laburnumshift/errors';
import type { Config, PoolConfig, Refusal, Result, ServiceConfig } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';

/**
 * Finds the service with a name and kind, and the pool that serves it to a client account. The first matching route in the order of
 * the configuration applies; a route without accounts matches every account.
 *
 * @returns the service and the pool, or a refusal: `unknown_service` when no service has this name and kind, `forbidden` when the
 * account may not call it, `no_backend_server` when no route matches, or its pool is missing or of another
 * kind
 */
export function resolveRoute(
  config: Config,
  account: string,
  serviceName: string,
  kind: ServiceConfig['kind'],
): Result<{ readonly service: ServiceConfig; readonly pool: PoolConfig }, Refusal> {
  const refuse = (code: 'unknown_service' | 'forbidden' | 'no_backend_server', message: string) => ({
    ok: false as const,
    error: createRefusal(code, message, OUTCOMES.notRun),
  });
  const service = Object.hasOwn(config.services, serviceName) ? config.services[serviceName] : undefined;
  if (service?.kind !== kind) return refuse('unknown_service', `no such ${kind} service`);
  if (service.accounts !== '*' && !service.accounts.includes(account)) {
    return refuse('forbidden', 'the account may not call this service');
  }
  const route = config.routes.find(
    (candidate) =>
      candidate.service === serviceName &&
      (candidate.accounts === undefined || candidate.accounts.includes(account)),
  );
  const pool = route === undefined ? undefined : config.pools[route.pool];
  if (pool?.kind !== kind) return refuse('no_backend_server', 'no pool serves this service');
  return { ok: true, value: { service, pool } };
}
