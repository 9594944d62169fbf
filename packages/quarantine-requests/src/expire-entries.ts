import { findHome } from '@laburnumshift/rank-homes';
import type { Membership, PlatformClient } from '@laburnumshift/types';
import { deleteLasting } from './delete-lasting.js';
import type { SuspectTables } from './suspect-tables.js';

/** Drops entries whose time is over; the home of each also deletes its lasting copy. */
export async function expireEntries(
  tables: SuspectTables,
  membership: Membership,
  platform: PlatformClient,
  suspectMs: number,
  nowMs: number,
): Promise<void> {
  const isHome = (fingerprint: string): boolean =>
    findHome(fingerprint, membership.listLive())?.host === membership.getSelf().host;
  for (const [fingerprint, { notice, version }] of tables.suspects) {
    if (nowMs < notice.atMs + suspectMs) continue;
    tables.suspects.delete(fingerprint);
    if (isHome(fingerprint)) await deleteLasting(platform, 'suspect', fingerprint, version);
  }
  for (const [fingerprint, { untilMs, version }] of tables.convictions) {
    if (nowMs < untilMs) continue;
    tables.convictions.delete(fingerprint);
    if (isHome(fingerprint)) await deleteLasting(platform, 'conviction', fingerprint, version);
  }
}
