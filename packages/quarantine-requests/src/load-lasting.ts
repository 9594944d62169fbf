import type { PlatformClient } from '@laburnumshift/types';
import { applyLasting } from './apply-lasting.js';
import type { SuspectTables } from './suspect-tables.js';

/** Reads all lasting copies. Resolves to false when the platform did not answer. */
export async function loadLasting(platform: PlatformClient, tables: SuspectTables): Promise<boolean> {
  for (const kind of ['conviction', 'suspect'] as const) {
    const listed = await platform.listObjects(kind, '', 'status');
    if (listed.kind !== 'listed') return false;
    applyLasting(tables, kind, listed.items);
  }
  return true;
}
