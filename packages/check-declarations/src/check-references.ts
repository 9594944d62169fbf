import type { ConfigSegment } from '@laburnumshift/types';
import { listEntities } from './list-entities.js';
import type { SegmentFinding } from './segment-finding.js';

/**
 * Reports references to undeclared names, services without a pool or route, and routes whose service and pool differ in
 * kind or model, or whose pool lacks the adapter of the service.
 */
export function checkReferences(segments: readonly ConfigSegment[]): readonly SegmentFinding[] {
  const services = new Map(listEntities(segments, 'services').map(({ value }) => [value.name, value]));
  const pools = new Map(listEntities(segments, 'pools').map(({ value }) => [value.name, value]));
  const accounts = new Set(listEntities(segments, 'accounts').map(({ value }) => value.name));
  const routedServices = new Set(listEntities(segments, 'routes').map(({ value }) => value.service));

  const checkAccounts = (
    file: string,
    path: readonly PropertyKey[],
    names: readonly string[] | '*' | undefined,
  ): readonly SegmentFinding[] =>
    names === undefined || names === '*'
      ? []
      : names.flatMap((name, index) =>
          accounts.has(name)
            ? []
            : [{ file, path: [...path, 'accounts', index], message: `unknown account '${name}'` }],
        );

  const serviceFindings = listEntities(segments, 'services').flatMap(({ file, path, value }) => [
    ...checkAccounts(file, path, value.accounts),
    ...(routedServices.has(value.name)
      ? []
      : [
          {
            file,
            path: [...path, 'name'],
            message: `service '${value.name}' has neither a pool nor a route`,
          },
        ]),
  ]);

  const routeFindings = listEntities(segments, 'routes').flatMap(({ file, path, value }) => {
    const service = services.get(value.service);
    const pool = pools.get(value.pool);
    const poolPath = path[0] === 'services' ? path : [...path, 'pool'];
    const findings = [...checkAccounts(file, path, value.accounts)];
    const addFinding = (findingPath: readonly PropertyKey[], message: string): void => {
      findings.push({ file, path: findingPath, message });
    };
    if (service === undefined) addFinding([...path, 'service'], `unknown service '${value.service}'`);
    if (pool === undefined) addFinding(poolPath, `unknown pool '${value.pool}'`);
    if (service === undefined || pool === undefined) return findings;
    if (service.kind !== pool.kind) {
      addFinding(
        poolPath,
        `pool '${pool.name}' is ${pool.kind}, service '${service.name}' is ${service.kind}`,
      );
    } else if (service.kind === 'model') {
      if (service.model !== undefined && pool.model !== undefined && service.model !== pool.model) {
        addFinding(poolPath, `pool '${pool.name}' runs '${pool.model}', not '${service.model}'`);
      }
      if (service.adapter !== undefined && !pool.adapters.includes(service.adapter)) {
        addFinding(poolPath, `pool '${pool.name}' has no adapter '${service.adapter}'`);
      }
    }
    return findings;
  });
  return [...serviceFindings, ...routeFindings];
}
