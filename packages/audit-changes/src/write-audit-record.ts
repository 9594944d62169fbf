import type { AuditRecord, PlatformClient } from '@laburnumshift/types';
import { AUDIT_KIND } from './audit-kind.js';
import { formatAuditName } from './format-audit-name.js';

/**
 * Writes the audit record of one change unless it exists; an existing record is never replaced. Returns whether the
 * record is stored, and false also when this is not known.
 */
export async function writeAuditRecord(platform: PlatformClient, record: AuditRecord): Promise<boolean> {
  const name = formatAuditName(record.atMs, record.changeId);
  const result = await platform.writeObject(AUDIT_KIND, name, record, 0, record.changeId, 'config');
  return result.kind === 'written' || result.kind === 'conflict';
}
