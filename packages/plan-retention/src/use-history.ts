import type { RunReport } from '@laburnumshift/types';
import type { PieceUse } from './piece-use.js';
import type { ReturnEstimate } from './return-estimate.js';
import { ServiceReturns } from './service-returns.js';

/** The curves are computed anew at most this often. */
const REFRESH_MS = 5_000;

/** Remembers when pieces were used and learns from it how prompts of each service come back. */
export class UseHistory {
  private readonly pieces = new Map<string, PieceUse>();
  /** Last pieces of the prompts that may come back. */
  private readonly tails = new Map<string, PieceUse>();
  private readonly services = new Map<string, ServiceReturns>();
  private refreshedMs = Number.NEGATIVE_INFINITY;
  private readonly pieceTokens: number;
  private readonly maxPieces: number;

  constructor(pieceTokens: number, maxPieces: number) {
    this.pieceTokens = pieceTokens;
    this.maxPieces = maxPieces;
  }

  findPiece(key: string): PieceUse | undefined {
    return this.pieces.get(key);
  }

  /** Takes a run into account. A second report of the same request is no return. */
  recordUse(report: RunReport, atMs: number): void {
    const keys = report.pieces.map((piece) => `${report.cacheScope}:${piece.chain}`);
    const known = keys.map((key) => this.pieces.get(key));
    if (known[0]?.lastRequest === report.requestId) return;
    // A service without any return needs its curve too.
    this.findService(report.service);
    const promptReturns = this.recordReturn(report, known, atMs);
    const tail = this.findTail(report);
    for (const [index, key] of keys.entries()) {
      const old = known[index];
      // Deleting first moves the piece to the end of the order in which pieces are forgotten.
      this.pieces.delete(key);
      // New pieces at the end of a prompt that came back share its habit.
      const returns = Math.max(promptReturns, old === undefined ? 0 : old.returns + 1);
      const piece: PieceUse = {
        key,
        parent: keys[index - 1],
        index,
        tokens: report.pieces[index]?.tokens ?? 0,
        account: report.account,
        service: report.service,
        lastUseMs: atMs,
        returns,
        isTail: index === tail || (old?.isTail === true && index > tail),
        lastRequest: report.requestId,
      };
      this.pieces.set(key, piece);
      if (piece.isTail) this.tails.set(key, piece);
    }
    this.dropOldest(atMs);
    this.refreshCurves(atMs);
  }

  /** Estimates the return of a piece. An incomplete piece is of use only when the prompt did not grow. */
  estimateReturn(piece: PieceUse, atMs: number): ReturnEstimate {
    const service = this.findService(piece.service);
    const estimate = service.getCurve(piece.returns).estimateReturn(atMs - piece.lastUseMs);
    const share = piece.tokens < this.pieceTokens ? service.partialShare : 1;
    return { ...estimate, chance: estimate.chance * share };
  }

  /** Estimates the chance that a piece is used within a time. */
  estimateWithin(piece: PieceUse, atMs: number, withinMs: number): number {
    const curve = this.findService(piece.service).getCurve(piece.returns);
    return curve.estimateWithin(atMs - piece.lastUseMs, withinMs);
  }

  /** Last complete piece of the prompt; the first one when none is complete. */
  private findTail(report: RunReport): number {
    const complete = report.pieces.filter((piece) => piece.tokens >= this.pieceTokens).length;
    return Math.max(0, complete - 1);
  }

  /** Records the gap when the prompt continues one whose last complete piece is known; returns how often it came back. */
  private recordReturn(report: RunReport, known: readonly (PieceUse | undefined)[], atMs: number): number {
    for (let index = known.length - 1; index >= 0; index -= 1) {
      const piece = known[index];
      if (piece?.isTail !== true) continue;
      const service = this.findService(report.service);
      service.recordReturn(piece.returns, atMs - piece.lastUseMs);
      service.recordPartial(known[index + 1] !== undefined);
      piece.isTail = false;
      this.tails.delete(piece.key);
      return piece.returns + 1;
    }
    return 0;
  }

  private findService(name: string): ServiceReturns {
    const found = this.services.get(name) ?? new ServiceReturns();
    this.services.set(name, found);
    return found;
  }

  private dropOldest(atMs: number): void {
    for (const [key, piece] of this.pieces) {
      if (this.pieces.size <= this.maxPieces) return;
      this.pieces.delete(key);
      if (!this.tails.delete(key)) continue;
      this.findService(piece.service).recordLoss(piece.returns, atMs - piece.lastUseMs);
    }
  }

  private refreshCurves(atMs: number): void {
    if (atMs - this.refreshedMs < REFRESH_MS) return;
    this.refreshedMs = atMs;
    const open = new Map<string, { returns: number; ageMs: number }[]>();
    for (const piece of this.tails.values()) {
      const list = open.get(piece.service) ?? [];
      list.push({ returns: piece.returns, ageMs: atMs - piece.lastUseMs });
      open.set(piece.service, list);
    }
    for (const [name, service] of this.services) service.updateCurves(open.get(name) ?? []);
  }
}
