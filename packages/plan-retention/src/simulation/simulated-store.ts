import { createCacheDirectory } from '@laburnumshift/track-cache';
import type {
  CacheDirectory,
  ExportPlan,
  StoreChange,
  StoredPiece,
  StoreState,
  Tier,
} from '@laburnumshift/types';
import type { SimulationOptions } from './simulation-options.js';
import { TransferQueue } from './transfer-queue.js';

const STORE_NAME = 'store';

/** A store host in simulated time, with the directory of its pieces. */
export class SimulatedStore {
  readonly directory: CacheDirectory = createCacheDirectory();
  exportedBytes = 0;
  importedBytes = 0;
  private readonly used: Record<Tier, number> = { memory: 0, disk: 0 };
  private readonly link: TransferQueue;
  private readonly disk: TransferQueue;
  private readonly options: SimulationOptions;

  constructor(options: SimulationOptions) {
    this.options = options;
    this.link = new TransferQueue(options.linkBytesPerSecond);
    this.disk = new TransferQueue(options.diskBytesPerSecond);
  }

  getView(nowMs: number): StoreState {
    const { pieceBytes, memoryPieces, diskPieces, linkBytesPerSecond, diskBytesPerSecond } = this.options;
    const memoryBytes = memoryPieces * pieceBytes;
    const diskBytes = diskPieces * pieceBytes;
    return {
      host: {
        name: STORE_NAME,
        url: 'simulated:',
        failureDomain: 'a',
        memoryBytes,
        diskBytes,
        linkBytesPerSecond,
        diskBytesPerSecond,
      },
      stat: {
        memoryBytes,
        memoryUsed: this.used.memory,
        diskBytes,
        diskUsed: this.used.disk,
        linkBytesPerSecond,
        linkQueuedBytes: (this.link.getQueueMs(nowMs) * linkBytesPerSecond) / 1000,
        otherShare: 0,
      },
      alive: true,
    };
  }

  finishTransfers(nowMs: number): void {
    this.link.finishTransfers(nowMs);
    this.disk.finishTransfers(nowMs);
  }

  /** Exports a piece over the link if its tier has room. The piece can be read when the transfer is completed. */
  writePiece({ tier, bytes, scope, chain }: ExportPlan, nowMs: number): void {
    if (this.isFull(tier, bytes)) return;
    this.used[tier] += bytes;
    this.exportedBytes += bytes;
    this.link.addTransfer(bytes, nowMs, () => {
      const place = { scope, chain, store: STORE_NAME, tier };
      if (this.directory.findStoredCopies(scope, chain).length > 0) this.used[tier] -= bytes;
      else this.directory.recordStoredPiece({ ...place, generation: 1, length: 1, checksum: '', bytes });
    });
  }

  /**
   * Imports pieces if that is faster than computing them, which takes `computeMs`. Returns the number of imported
   * pieces.
   */
  readPieces(pieces: readonly StoredPiece[], computeMs: number, nowMs: number): number {
    const { linkBytesPerSecond, diskBytesPerSecond } = this.options;
    const countBytes = (tier: Tier): number =>
      pieces.reduce((sum, piece) => sum + (piece.tier === tier ? piece.bytes : 0), 0);
    const bytes = countBytes('memory') + countBytes('disk');
    const linkMs = this.link.getQueueMs(nowMs) + (bytes / linkBytesPerSecond) * 1000;
    const diskMs = this.disk.getQueueMs(nowMs) + (countBytes('disk') / diskBytesPerSecond) * 1000;
    if (bytes === 0 || Math.max(linkMs, countBytes('disk') > 0 ? diskMs : 0) >= computeMs) return 0;
    this.link.addTransfer(bytes, nowMs, () => undefined);
    if (countBytes('disk') > 0) this.disk.addTransfer(countBytes('disk'), nowMs, () => undefined);
    this.importedBytes += bytes;
    return pieces.length;
  }

  applyChange({ scope, chain, action }: StoreChange, nowMs: number): void {
    const piece = this.directory.findStoredCopies(scope, chain)[0];
    if (piece === undefined) return;
    if (action === 'delete') {
      this.directory.removeStoredPiece(STORE_NAME, scope, chain);
      this.used[piece.tier] -= piece.bytes;
      return;
    }
    const tier = action === 'to-memory' ? 'memory' : 'disk';
    if (piece.tier === tier || this.isFull(tier, piece.bytes)) return;
    this.used[tier] += piece.bytes;
    this.used[piece.tier] -= piece.bytes;
    this.directory.recordStoredPiece({ ...piece, tier });
    this.disk.addTransfer(piece.bytes, nowMs, () => undefined);
  }

  private isFull(tier: Tier, bytes: number): boolean {
    const pieces = tier === 'memory' ? this.options.memoryPieces : this.options.diskPieces;
    return this.used[tier] + bytes > pieces * this.options.pieceBytes;
  }
}
