import type { AuditRecord, PlatformClient } from '@laburnumshift/types';
import { AUDIT_KIND } from './audit-kind.js';

/**
 * Lists the audit records, the newest first.
 *
 * @param limit records to return
 * @returns `undefined` while the platform is unavailable
 */
export async function listChanges(
  platform: PlatformClient,
  limit = 100,
): Promise<readonly AuditRecord[] | undefined> {
  const result = await platform.listObjects<AuditRecord>(AUDIT_KIND, '', 'status');
  if (result.kind === 'unavailable') return undefined;
  const names = [...result.items].sort((a, b) => (a.name < b.name ? 1 : -1));
  return names.slice(0, limit).map((item) => item.value);
}
