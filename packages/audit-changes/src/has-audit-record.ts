import type { PlatformClient } from '@laburnumshift/types';
import { AUDIT_KIND } from './audit-kind.js';
import { formatAuditName } from './format-audit-name.js';

/** Returns whether a change has an audit record; `undefined` while the platform is unavailable. */
export async function hasAuditRecord(
  platform: PlatformClient,
  atMs: number,
  changeId: string,
): Promise<boolean | undefined> {
  const result = await platform.readObject(AUDIT_KIND, formatAuditName(atMs, changeId), 'config');
  return result.kind === 'unavailable' ? undefined : result.kind === 'found';
}
