import { randomUUID } from 'node:crypto';
import {
  computeElapsedMs,
  readMoment,
  readMonotonicMs,
  readWallMs,
  startLoop,
  type Moment,
} from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { splitRevision } from '@laburnumshift/order-revisions';
import type { WriteResult } from '@laburnumshift/types';
import type { LeaseOptions } from './lease-options.js';
import { DEFAULT_LEASE_DURATIONS } from './default-lease-durations.js';
import { LEASE_VALUE_SCHEMA } from './lease-value-schema.js';
import type { Lease } from './lease.js';

/** Bound of the revisions that one restore of the store takes back: five days at 2,000 changes a second. */
const MAX_REVISIONS_LOST = 1_000_000_000;

/** Competes for a lease, renews it while this node holds it, and takes it over when its holder stops renewing it. */
export function holdLease(options: LeaseOptions): Lease {
  const { platform, name, self, era } = options;
  const times = options.durations ?? DEFAULT_LEASE_DURATIONS;
  const logger = createLogger('lease');
  /** The held lease: its fencing token, the version of its object, and when its last successful write was sent. */
  let held: { readonly fencing: number; version: number; sent: Moment } | undefined;
  /** The version of the lease object that was read last, and when it was first seen, monotonic milliseconds. */
  let lastSeen = { version: -1, sinceMs: 0 };
  let closed = false;

  /** Includes time during which the host was suspended, so that a holder does not trust its lease after it resumes. */
  const computeRemainingMs = (): number =>
    held === undefined ? 0 : Math.max(0, times.holdMs - computeElapsedMs(held.sent));
  const isHeld = (): boolean => computeRemainingMs() > 0;
  const writeLease = (holder: string, fencing: number, ifVersion: number): Promise<WriteResult> => {
    const expiresAt = readWallMs() + times.takeoverMs;
    const value = { holder, fencing, expiresAt, incarnation: self.incarnation };
    return platform.writeObject('lease', name, value, ifVersion, randomUUID(), 'lease');
  };
  const readLease = async () => {
    const read = await platform.readObject('lease', name, 'lease');
    if (read.kind === 'unavailable') return undefined;
    if (read.kind === 'absent') return { version: 0, holder: '', fencing: 0, incarnation: 0 };
    const value = LEASE_VALUE_SCHEMA.safeParse(read.object.value).data;
    return value === undefined ? undefined : { version: read.object.version, ...value };
  };
  const dropLease = (reason: string): void => {
    if (held !== undefined) logger.warn('lost the lease', { lease: name, reason });
    held = undefined;
  };
  /**
   * Returns a number that no token so far exceeds. The token in the lease is not enough: a restored store lacks those of its last seconds,
   * and a write from before the restore may be executed after it and replace a later one. Versions rise with each write and each restore.
   */
  const computeMinFencing = (version: number): number => {
    const number = era?.getEra() ?? 0;
    return number === 0 ? 0 : number * MAX_REVISIONS_LOST + splitRevision(version).revision;
  };
  const takeLease = async (): Promise<void> => {
    const found = await readLease();
    if (found === undefined) return;
    if (found.version !== lastSeen.version) lastSeen = { version: found.version, sinceMs: readMonotonicMs() };
    // A restored store may lack the lease of a holder that still relies on it.
    const isSettled = (era?.getAgeMs() ?? Infinity) >= times.takeoverMs;
    const isFree = found.holder === '' || readMonotonicMs() - lastSeen.sinceMs >= times.takeoverMs;
    if (!isSettled || !isFree || closed) return;
    const sent = readMoment();
    const fencing = Math.max(found.fencing, computeMinFencing(found.version)) + 1;
    const result = await writeLease(self.host, fencing, found.version);
    // After an unknown result the lease is not held. If the write was applied, this node waits for it to expire like for
    // another's.
    if (result.kind !== 'written') return;
    held = { fencing, version: result.version, sent };
    if (isHeld()) logger.info('acquired the lease', { lease: name, fencing });
    else dropLease('the answer came too late');
  };
  const renewLease = async (current: NonNullable<typeof held>): Promise<void> => {
    const sent = readMoment();
    const result = await writeLease(self.host, current.fencing, current.version);
    if (result.kind === 'written') {
      current.version = result.version;
      current.sent = sent;
      return;
    }
    if (result.kind === 'unavailable') return;
    // A renewal whose answer was lost changes the version, so the lease is lost only if the holder or the fencing token differs.
    const found = await readLease();
    if (found === undefined) return;
    const isOwn = found.holder === self.host && found.incarnation === self.incarnation;
    if (!isOwn || found.fencing !== current.fencing) dropLease('another node holds it');
    else current.version = found.version;
  };
  const releaseLease = async (): Promise<void> => {
    const current = held;
    held = undefined;
    if (current !== undefined) await writeLease('', current.fencing, current.version);
  };
  const updateLease = async (): Promise<void> => {
    if (held !== undefined && !isHeld()) dropLease('not renewed in time');
    const isWanted = options.isWanted?.() ?? true;
    if (held !== undefined && !isWanted) await releaseLease();
    else if (held === undefined && isWanted) await takeLease();
    else if (held !== undefined && computeElapsedMs(held.sent) >= times.renewMs) await renewLease(held);
  };
  const loop = startLoop(options.getPollMs ?? times.pollMs, updateLease, (error) => {
    logger.error('failed to update the lease', { lease: name, detail: String(error) });
  });

  return {
    getFencingToken: () => (isHeld() ? held?.fencing : undefined),
    getRemainingMs: computeRemainingMs,
    pollNow: loop.runNow,
    release: async () => {
      closed = true;
      loop.stop();
      await releaseLease();
    },
    close: () => {
      closed = true;
      loop.stop();
      held = undefined;
    },
  };
}
