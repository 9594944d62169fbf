import type { HostEntry } from '@laburnumshift/types';
import { buildMembers } from './build-members.js';

/** Builds the platform's host list: some nodes, and engines. */
export function buildHosts(nodes: number, engines: number): HostEntry[] {
  const entries = buildMembers(nodes).map(({ host, failureDomain, address }): HostEntry => ({
    host,
    kind: 'node',
    failureDomain,
    state: 'live',
    address,
  }));
  const servers = Array.from({ length: engines }, (_, i): HostEntry => ({
    host: `engine-${String(i % 7)}-${String(i).padStart(5, '0')}`,
    kind: 'engine',
    failureDomain: `region-${String(i % 3)}-domain-${String(i % 9)}`,
    state: 'live',
  }));
  return [...entries, ...servers];
}
