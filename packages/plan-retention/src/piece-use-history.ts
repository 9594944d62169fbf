import type { RunReport } from '@laburnumshift/types';
import type { PieceUse } from './piece-use.js';
import type { ReturnEstimate } from './return-estimate.js';
import { ServiceReturnModel } from './service-return-model.js';

/** Minimum interval between updates of the curves, milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 5_000;

/** Records the uses of pieces and estimates from them when prompts of each service return. */
export class PieceUseHistory {
  private readonly pieces = new Map<string, PieceUse>();
  /** The last complete pieces of the prompts that may return, by key. */
  private readonly lastCompletePieces = new Map<string, PieceUse>();
  private readonly services = new Map<string, ServiceReturnModel>();
  private lastRefreshMs = Number.NEGATIVE_INFINITY;
  private readonly pieceTokens: number;
  private readonly maxTrackedPieces: number;

  constructor(pieceTokens: number, maxTrackedPieces: number) {
    this.pieceTokens = pieceTokens;
    this.maxTrackedPieces = maxTrackedPieces;
  }

  findPiece(key: string): PieceUse | undefined {
    return this.pieces.get(key);
  }

  /** Records the pieces used by a run. A second report of the same request does not count as a return. */
  recordUse(report: RunReport, atMs: number): void {
    const keys = report.pieces.map((piece) => `${report.cacheScope}:${piece.chain}`);
    const knownPieces = keys.map((key) => this.pieces.get(key));
    if (knownPieces[0]?.lastRequestId === report.requestId) return;
    // Creates the model of the service, which is needed even without a return.
    this.findService(report.service);
    const promptReturns = this.recordReturn(report, knownPieces, atMs);
    const lastComplete = this.findLastComplete(report);
    for (const [index, key] of keys.entries()) {
      const previous = knownPieces[index];
      // Deleting the key first moves the piece to the end of the eviction order.
      this.pieces.delete(key);
      // New pieces at the end of a returning prompt get the return count of the prompt.
      const returns = Math.max(promptReturns, previous === undefined ? 0 : previous.returnCount + 1);
      const piece: PieceUse = {
        key,
        parentKey: keys[index - 1],
        index,
        tokens: report.pieces[index]?.tokens ?? 0,
        account: report.account,
        service: report.service,
        lastUseMs: atMs,
        returnCount: returns,
        isLastComplete: index === lastComplete || (previous?.isLastComplete === true && index > lastComplete),
        lastRequestId: report.requestId,
      };
      this.pieces.set(key, piece);
      if (piece.isLastComplete) this.lastCompletePieces.set(key, piece);
    }
    this.evictOldest(atMs);
    this.refreshCurves(atMs);
  }

  /** Estimates the next use of a piece. An incomplete piece can be used again only if the prompt did not grow. */
  estimateReturn(piece: PieceUse, atMs: number): ReturnEstimate {
    const service = this.findService(piece.service);
    const estimate = service.getCurve(piece.returnCount).estimateReturn(atMs - piece.lastUseMs);
    const share = piece.tokens < this.pieceTokens ? service.partialMatchShare : 1;
    return { ...estimate, probability: estimate.probability * share };
  }

  /** Estimates the probability that a piece is used within the next `withinMs`. */
  estimateReturnWithin(piece: PieceUse, atMs: number, withinMs: number): number {
    const curve = this.findService(piece.service).getCurve(piece.returnCount);
    return curve.estimateReturnWithin(atMs - piece.lastUseMs, withinMs);
  }

  /** Returns the index of the last complete piece of the prompt; 0 when none is complete. */
  private findLastComplete(report: RunReport): number {
    const complete = report.pieces.filter((piece) => piece.tokens >= this.pieceTokens).length;
    return Math.max(0, complete - 1);
  }

  /** Records a return if the prompt continues one whose last complete piece is known. Returns how often it returned. */
  private recordReturn(
    report: RunReport,
    knownPieces: readonly (PieceUse | undefined)[],
    atMs: number,
  ): number {
    for (let index = knownPieces.length - 1; index >= 0; index -= 1) {
      const piece = knownPieces[index];
      if (piece?.isLastComplete !== true) continue;
      const service = this.findService(report.service);
      service.recordReturn(piece.returnCount, atMs - piece.lastUseMs);
      service.recordPartialMatch(knownPieces[index + 1] !== undefined);
      piece.isLastComplete = false;
      this.lastCompletePieces.delete(piece.key);
      return piece.returnCount + 1;
    }
    return 0;
  }

  private findService(name: string): ServiceReturnModel {
    const found = this.services.get(name) ?? new ServiceReturnModel();
    this.services.set(name, found);
    return found;
  }

  private evictOldest(atMs: number): void {
    for (const [key, piece] of this.pieces) {
      if (this.pieces.size <= this.maxTrackedPieces) return;
      this.pieces.delete(key);
      if (!this.lastCompletePieces.delete(key)) continue;
      this.findService(piece.service).recordCensoring(piece.returnCount, atMs - piece.lastUseMs);
    }
  }

  private refreshCurves(atMs: number): void {
    if (atMs - this.lastRefreshMs < MIN_REFRESH_INTERVAL_MS) return;
    this.lastRefreshMs = atMs;
    const open = new Map<string, { returns: number; ageMs: number }[]>();
    for (const piece of this.lastCompletePieces.values()) {
      const list = open.get(piece.service) ?? [];
      list.push({ returns: piece.returnCount, ageMs: atMs - piece.lastUseMs });
      open.set(piece.service, list);
    }
    for (const [name, service] of this.services) service.updateCurves(open.get(name) ?? []);
  }
}
