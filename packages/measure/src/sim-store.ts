import { createCacheDirectory } from '@laburnumshift/track-cache';
import type { CacheDirectory, ExportPlan, StoreChange, StoreState, Tier } from '@laburnumshift/types';
import type { Deployment } from './deployment.js';
import type { EventQueue } from './event-queue.js';
import { SimLink } from './sim-link.js';

const NAME = 's';
/** Time after which a call to a dead store fails. */
const REFUSED_MS = 50;
/** The same bound as in the home of a cell (manage-cell, run-exports). */
const MAX_EXPORTS = 512;

/** A store host with a memory and a disk tier; a piece on the disk uses disk and link at the same time. What it holds is decided by a retention planner, as in the home of a cell. */
export class SimStore {
  readonly directory: CacheDirectory = createCacheDirectory();
  readonly link: SimLink;
  private readonly disk: SimLink;
  /** False from the time at which a dead store is noticed. */
  isListed = true;
  private alive = true;
  private readonly used: Record<Tier, number> = { memory: 0, disk: 0 };
  private exports: ExportPlan[] = [];
  private exporting = false;

  constructor(
    events: EventQueue,
    private readonly deployment: Deployment,
    /** Tells whether an engine still holds a piece that is to be exported. */
    private readonly isCached: (engine: string, chain: string) => boolean,
  ) {
    this.link = new SimLink(events, deployment.linkBytesPerSecond);
    this.disk = new SimLink(events, deployment.diskBytesPerSecond);
  }

  /** Tier in which a piece is listed; a dead store stays listed until it is forgotten. */
  getTier(scope: string, chain: string): Tier | undefined {
    return this.directory.findStoredCopies(scope, chain)[0]?.tier;
  }

  getView(): StoreState {
    const { pieceBytes, memoryPieces, diskPieces, linkBytesPerSecond, diskBytesPerSecond } = this.deployment;
    const memoryBytes = memoryPieces * pieceBytes;
    const diskBytes = diskPieces * pieceBytes;
    const sizes = { memoryBytes, diskBytes, linkBytesPerSecond };
    return {
      host: { name: NAME, url: '', failureDomain: 'a', ...sizes, diskBytesPerSecond },
      stat: {
        ...sizes,
        memoryUsed: this.used.memory,
        diskUsed: this.used.disk,
        linkQueuedBytes: this.link.getQueuedBytes(),
        otherShare: 0,
      },
      alive: this.isListed,
    };
  }

  /** Filled share of the fuller tier. */
  getFilling(): number {
    const { memoryPieces, diskPieces, pieceBytes } = this.deployment;
    return Math.max(this.used.memory / memoryPieces, this.used.disk / diskPieces) / pieceBytes;
  }

  importPieces(scope: string, chains: readonly string[], finish: (ok: boolean) => void): void {
    if (!this.alive) {
      this.link.fail(REFUSED_MS, finish);
      return;
    }
    const { pieceBytes } = this.deployment;
    const onDisk = chains.filter((chain) => this.getTier(scope, chain) === 'disk').length;
    let parts = onDisk > 0 ? 2 : 1;
    let allOk = true;
    const finishPart = (ok: boolean): void => {
      parts -= 1;
      allOk &&= ok;
      if (parts === 0) finish(allOk);
    };
    this.link.addTransfer(chains.length * pieceBytes, finishPart);
    if (onDisk > 0) this.disk.addTransfer(onDisk * pieceBytes, finishPart);
    this.runExports();
  }

  /** Queues exports, the most valuable first. */
  addExports(plans: readonly ExportPlan[]): void {
    if (!this.alive) return;
    for (const plan of plans) {
      if (this.exports.some((other) => other.chain === plan.chain && other.scope === plan.scope)) continue;
      const index = this.exports.findIndex((other) => other.value < plan.value);
      this.exports.splice(index < 0 ? this.exports.length : index, 0, plan);
    }
    this.exports.splice(MAX_EXPORTS);
    this.runExports();
  }

  /** Carries out a change of the planner; a move to memory needs an idle link. */
  applyChange({ scope, chain, action }: StoreChange): void {
    const piece = this.directory.findStoredCopies(scope, chain)[0];
    if (!this.alive || piece === undefined) return;
    if (action === 'delete') {
      this.directory.removeStoredPiece(NAME, scope, chain);
      this.used[piece.tier] -= piece.bytes;
      return;
    }
    const tier = action === 'to-memory' ? 'memory' : 'disk';
    if (piece.tier === tier || this.isFull(tier, piece.bytes)) return;
    const move = (): void => {
      this.used[tier] += piece.bytes;
      this.used[piece.tier] -= piece.bytes;
      this.directory.recordStoredPiece({ ...piece, tier });
    };
    if (tier === 'disk') move();
    else if (this.link.isIdle()) {
      this.disk.addTransfer(piece.bytes, (ok) => {
        const isThere = this.getTier(scope, chain) === 'disk';
        if (ok && isThere && !this.isFull('memory', piece.bytes)) move();
      });
    }
  }

  fail(): void {
    this.alive = false;
    this.exports = [];
    this.link.failAll();
    this.disk.failAll();
  }

  clearListing(): void {
    this.isListed = false;
    this.directory.removeStore(NAME);
  }

  private runExports(): void {
    if (this.exporting) return;
    this.exporting = true;
    this.link.waitIdle(() => {
      this.exporting = false;
      this.startExport();
    });
  }

  /** Exports the first piece that its engine still holds and that has room. */
  private startExport(): void {
    for (let plan = this.exports.shift(); plan !== undefined; plan = this.exports.shift()) {
      const { scope, chain, tier, bytes } = plan;
      if (this.getTier(scope, chain) !== undefined || this.isFull(tier, bytes)) continue;
      if (!this.isCached(plan.engine, chain)) continue;
      this.used[tier] += bytes;
      this.link.addTransfer(bytes, (ok) => {
        if (ok) {
          const place = { scope, chain, store: NAME, tier };
          this.directory.recordStoredPiece({ ...place, generation: 1, length: 1, checksum: '', bytes });
        } else this.used[tier] -= bytes;
      });
      this.runExports();
      return;
    }
  }

  private isFull(tier: Tier, bytes: number): boolean {
    const { memoryPieces, diskPieces, pieceBytes } = this.deployment;
    return this.used[tier] + bytes > (tier === 'memory' ? memoryPieces : diskPieces) * pieceBytes;
  }
}
