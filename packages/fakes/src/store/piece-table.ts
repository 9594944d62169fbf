import { readMonotonicMs } from '@laburnumshift/clock';
import type { Tier } from '@laburnumshift/types';
import { computeChecksum } from './compute-checksum.js';
import type { HeldPiece } from './held-piece.js';

/** A piece that was put but not committed is dropped after this time, so that a dead writer holds no space. */
const COMMIT_LIMIT_MS = 30_000;

/** The contents of the fake store: committed pieces, pieces being written, and pins. */
export class PieceTable {
  private readonly committed = new Map<string, HeldPiece>();
  private readonly pending = new Map<number, { readonly piece: HeldPiece; readonly untilMs: number }>();
  private readonly pins = new Map<string, number[]>();
  private readonly used: Record<Tier, number> = { memory: 0, disk: 0 };
  private nextGeneration = 1;
  private readonly capacity: Readonly<Record<Tier, number>>;

  constructor(capacity: Readonly<Record<Tier, number>>) {
    this.capacity = capacity;
  }

  getUsed(tier: Tier): number {
    return this.used[tier];
  }

  /** Starts a piece that cannot be read before its commit; `undefined` when the tier is full. */
  beginPiece(
    key: string,
    tier: Tier,
    bytes: number,
    weightVersion: string,
    body: Buffer,
  ): HeldPiece | undefined {
    this.expirePending();
    if (this.used[tier] + bytes > this.capacity[tier]) return undefined;
    this.used[tier] += bytes;
    const generation = this.nextGeneration++;
    const piece = { key, tier, generation, body, checksum: computeChecksum(body), bytes, weightVersion };
    this.pending.set(generation, { piece, untilMs: readMonotonicMs() + COMMIT_LIMIT_MS });
    return piece;
  }

  /** Makes a piece readable when length and checksum agree with what arrived and the old one is not pinned. */
  finishPiece(key: string, generation: number, length: number, checksum: string): boolean {
    const piece = this.pending.get(generation)?.piece;
    if (piece?.key !== key) return false;
    this.pending.delete(generation);
    const agrees = piece.body.length === length && piece.checksum === checksum;
    if (!agrees || this.isPinned(key)) {
      this.used[piece.tier] -= piece.bytes;
      return false;
    }
    this.dropPiece(key);
    this.committed.set(key, piece);
    return true;
  }

  findPiece(key: string): HeldPiece | undefined {
    return this.committed.get(key);
  }

  listPieces(): HeldPiece[] {
    return [...this.committed.values()];
  }

  pinPiece(key: string, ttlMs: number): void {
    const until = readMonotonicMs() + ttlMs;
    this.pins.set(key, [...(this.pins.get(key) ?? []), until]);
  }

  releasePin(key: string): void {
    const left = (this.pins.get(key) ?? []).slice(1);
    if (left.length === 0) this.pins.delete(key);
    else this.pins.set(key, left);
  }

  isPinned(key: string): boolean {
    return this.listPins(key).length > 0;
  }

  countPins(): number {
    return [...this.pins.keys()].reduce((sum, key) => sum + this.listPins(key).length, 0);
  }

  /** Changes the tier of a piece; false when the new tier is full. */
  movePiece(key: string, tier: Tier): boolean {
    const piece = this.committed.get(key);
    if (piece === undefined) return false;
    if (piece.tier === tier) return true;
    if (this.used[tier] + piece.bytes > this.capacity[tier]) return false;
    this.used[piece.tier] -= piece.bytes;
    this.used[tier] += piece.bytes;
    this.committed.set(key, { ...piece, tier });
    return true;
  }

  /** Frees a piece whether it is pinned or not. */
  dropPiece(key: string): boolean {
    const piece = this.committed.get(key);
    if (piece === undefined) return false;
    this.committed.delete(key);
    this.used[piece.tier] -= piece.bytes;
    return true;
  }

  /** Puts other content under the next generation in place of the piece. */
  replaceContent(key: string): void {
    const piece = this.committed.get(key);
    if (piece === undefined) return;
    const body = Buffer.from(piece.body.map((byte) => byte ^ 0x2a));
    const generation = this.nextGeneration++;
    this.committed.set(key, { ...piece, body, generation, checksum: computeChecksum(body) });
  }

  private expirePending(): void {
    const now = readMonotonicMs();
    for (const [generation, { piece, untilMs }] of this.pending) {
      if (untilMs > now) break;
      this.pending.delete(generation);
      this.used[piece.tier] -= piece.bytes;
    }
  }

  private listPins(key: string): number[] {
    const now = readMonotonicMs();
    return (this.pins.get(key) ?? []).filter((until) => until > now);
  }
}
