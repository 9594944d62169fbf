import { createRefusal } from '@laburnumshift/errors';
import type { Config, PoolConfig, Refusal, Result, ServiceConfig } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';

/**
 * Finds the service and the pool that serves the account, or the refusal. Rules are tried in the order of the
 * configuration.
 */
export function resolveRoute(
  config: Config,
  account: string,
  name: string,
  kind: ServiceConfig['kind'],
): Result<{ readonly service: ServiceConfig; readonly pool: PoolConfig }, Refusal> {
  const refuse = (code: 'unknown_service' | 'forbidden' | 'no_backend_server', message: string) => ({
    ok: false as const,
    error: createRefusal(code, message, OUTCOMES.notRun),
  });
  const service = Object.hasOwn(config.services, name) ? config.services[name] : undefined;
  if (service?.kind !== kind) return refuse('unknown_service', `no such ${kind} service`);
  if (service.accounts !== '*' && !service.accounts.includes(account)) {
    return refuse('forbidden', 'the account may not call this service');
  }
  const route = config.routes.find(
    (rule) => rule.service === name && (rule.accounts === undefined || rule.accounts.includes(account)),
  );
  const pool = route === undefined ? undefined : config.pools[route.pool];
  if (pool?.kind !== kind) return refuse('no_backend_server', 'no pool serves this service');
  return { ok: true, value: { service, pool } };
}
