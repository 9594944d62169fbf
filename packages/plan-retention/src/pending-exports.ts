import type { CacheDirectory, ExportPlan, Tier } from '@laburnumshift/types';

/**
 * Time after which an export that is not in the directory counts as failed, milliseconds. It is longer than the export
 * queue.
 */
const EXPORT_TIMEOUT_MS = 60_000;

interface PendingExport extends ExportPlan {
  readonly account: string;
  readonly untilMs: number;
}

/** Planned exports that are not in the directory yet. Their bytes are reserved. */
export class PendingExports {
  private readonly exports = new Map<string, PendingExport>();

  addExport(plan: ExportPlan, account: string, atMs: number): void {
    const pending = { ...plan, account, untilMs: atMs + EXPORT_TIMEOUT_MS };
    this.exports.set(`${plan.scope}:${plan.chain}`, pending);
  }

  hasExport(key: string): boolean {
    return this.exports.has(key);
  }

  /** Removes exports that are completed or have timed out. */
  expireExports(directory: CacheDirectory, atMs: number): void {
    for (const [key, { scope, chain, store, untilMs }] of this.exports) {
      const isCompleted = directory.findStoredCopies(scope, chain).some((piece) => piece.store === store);
      if (isCompleted || untilMs <= atMs) this.exports.delete(key);
    }
  }

  countTierBytes(store: string, tier: Tier): number {
    return this.countBytes((pending) => pending.store === store && pending.tier === tier);
  }

  countAccountBytes(account: string): number {
    return this.countBytes((pending) => pending.account === account);
  }

  private countBytes(matches: (pending: PendingExport) => boolean): number {
    let sum = 0;
    for (const pending of this.exports.values()) if (matches(pending)) sum += pending.bytes;
    return sum;
  }
}
