import type { CacheDirectory, ExportPlan, Tier } from '@laburnumshift/types';

/** An export that has not shown up in the directory after this time has failed; longer than the export queue. */
const EXPORT_LIMIT_MS = 60_000;

interface PendingExport extends ExportPlan {
  readonly account: string;
  readonly untilMs: number;
}

/** Exports that were planned and are not in the directory yet; their room is reserved. */
export class PendingExports {
  private readonly exports = new Map<string, PendingExport>();

  addExport(plan: ExportPlan, account: string, atMs: number): void {
    const pending = { ...plan, account, untilMs: atMs + EXPORT_LIMIT_MS };
    this.exports.set(`${plan.scope}:${plan.chain}`, pending);
  }

  hasExport(key: string): boolean {
    return this.exports.has(key);
  }

  /** Forgets exports that are done or have failed. */
  expireExports(directory: CacheDirectory, atMs: number): void {
    for (const [key, { scope, chain, store, untilMs }] of this.exports) {
      const done = directory.findStored(scope, chain).some((piece) => piece.store === store);
      if (done || untilMs <= atMs) this.exports.delete(key);
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
