import type { Member } from '@laburnumshift/types';

const DOMAINS = 9;

/** Builds members with names and addresses of usual length, spread over nine failure domains. */
export function buildMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `entry-${String(i).padStart(4, '0')}`,
    incarnation: 1_790_000_000_000 + i,
    failureDomain: `region-${String(i % 3)}-domain-${String(i % DOMAINS)}`,
    address: `10.20.${String(i >> 8)}.${String(i & 255)}:7100`,
  }));
}
