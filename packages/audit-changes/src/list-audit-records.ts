import type { AuditRecord, PlatformClient } from '@laburnumshift/types';
import { AUDIT_KIND } from './audit-kind.js';

/**
 * Lists the audit records, newest first.
 *
 * @param limit maximum number of records to return
 * @returns `undefined` while the platform is unavailable
 */
export async function listAuditRecords(
  platform: PlatformClient,
  limit = 100,
): Promise<readonly AuditRecord[] | undefined> {
  const result = await platform.listObjects<AuditRecord>(AUDIT_KIND, '', 'status');
  if (result.kind === 'unavailable') return undefined;
  const newestFirst = [...result.items].sort((a, b) => (a.name < b.name ? 1 : -1));
  return newestFirst.slice(0, limit).map((item) => item.value);
}
