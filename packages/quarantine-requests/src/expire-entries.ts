import { findHome } from '@laburnumshift/rank-homes';
import type { Membership, PlatformClient } from '@laburnumshift/types';
import { deleteStoredCopy } from './delete-stored-copy.js';
import type { QuarantineTables } from './quarantine-tables.js';

/**
 * Removes the entries whose time is over. On the home of an entry, the stored copy is also deleted from the platform. `nowMs` is wall
 * time in milliseconds.
 */
export async function expireEntries(
  tables: QuarantineTables,
  membership: Membership,
  platform: PlatformClient,
  suspectMs: number,
  nowMs: number,
): Promise<void> {
  const isHome = (fingerprint: string): boolean =>
    findHome(fingerprint, membership.listLiveMembers())?.host === membership.getSelf().host;
  for (const [fingerprint, { notice, version }] of tables.suspects) {
    if (nowMs < notice.atMs + suspectMs) continue;
    tables.suspects.delete(fingerprint);
    if (isHome(fingerprint)) await deleteStoredCopy(platform, 'suspect', fingerprint, version);
  }
  for (const [fingerprint, { untilMs, version }] of tables.convictions) {
    if (nowMs < untilMs) continue;
    tables.convictions.delete(fingerprint);
    if (isHome(fingerprint)) await deleteStoredCopy(platform, 'conviction', fingerprint, version);
  }
}
