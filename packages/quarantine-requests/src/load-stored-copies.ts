import type { PlatformClient } from '@laburnumshift/types';
import { applyPlatformEvents } from './apply-platform-events.js';
import type { QuarantineTables } from './quarantine-tables.js';

/** Reads all stored copies from the platform into the tables. Resolves to false when a listing fails. */
export async function loadStoredCopies(platform: PlatformClient, tables: QuarantineTables): Promise<boolean> {
  for (const kind of ['conviction', 'suspect'] as const) {
    const listed = await platform.listObjects(kind, '', 'status');
    if (listed.kind !== 'listed') return false;
    applyPlatformEvents(tables, kind, listed.items);
  }
  return true;
}
