/** Bits in one word of a bit set. */
const WORD_BITS = 32;

/** Number of pieces for which the arrays have space at first; it doubles when they are full. */
const INITIAL_CAPACITY = 1_024;

/**
 * The pieces on engines. Each piece has two bit sets over engine indexes, one of the engines for which events confirmed it and one of
 * those for which it is assumed. All bit sets lie in two flat arrays, so that a piece takes few bytes and a prefix is counted word by
 * word. When the table is full, the second-chance (CLOCK) algorithm evicts a piece that was not used recently.
 */
export class CachedPieceTable {
  /** Number of 32-bit words in the bit set of a piece. */
  wordsPerBitSet = 1;
  confirmed = new Int32Array(INITIAL_CAPACITY);
  assumed = new Int32Array(INITIAL_CAPACITY);
  private used = new Uint8Array(INITIAL_CAPACITY);
  private capacity = INITIAL_CAPACITY;
  private size = 0;
  private clockHand = 0;
  private readonly freeIds: number[] = [];
  private readonly scopes = new Map<string, Map<string, number>>();
  private readonly keys: ({ readonly scope: string; readonly chain: string } | undefined)[] = [];
  private readonly maxEntries: number;

  constructor(maxEntries: number) {
    this.maxEntries = maxEntries;
  }

  /** Number of pieces in the table. */
  get count(): number {
    return this.size;
  }

  /** Returns the ids of the pieces of a scope by chain hash, or `undefined` when the scope has no pieces. */
  findPieceIds(scope: string): ReadonlyMap<string, number> | undefined {
    return this.scopes.get(scope);
  }

  /** Returns the id of a piece, or `undefined` when it is not in the table. */
  findPiece(scope: string, chain: string): number | undefined {
    return this.scopes.get(scope)?.get(chain);
  }

  /** Returns the id of a piece, which is added without engines when it is not in the table. May evict another piece. */
  addPiece(scope: string, chain: string): number {
    const found = this.findPiece(scope, chain);
    if (found !== undefined) return found;
    if (this.size >= this.maxEntries) this.evictPiece();
    const id = this.freeIds.pop() ?? this.keys.length;
    if (id >= this.capacity) this.replaceArrays(this.capacity * 2, this.wordsPerBitSet);
    this.keys[id] = { scope, chain };
    const idsByChain = this.scopes.get(scope) ?? new Map<string, number>();
    if (idsByChain.size === 0) this.scopes.set(scope, idsByChain);
    idsByChain.set(chain, id);
    this.size += 1;
    this.used[id] = 1;
    return id;
  }

  /** Protects a piece from eviction for one pass of the clock hand. */
  markUsed(id: number): void {
    this.used[id] = 1;
  }

  hasBit(bits: Int32Array, id: number, engine: number): boolean {
    return ((bits[id * this.wordsPerBitSet + (engine >>> 5)] ?? 0) & (1 << (engine & 31))) !== 0;
  }

  setBit(bits: Int32Array, id: number, engine: number): void {
    const at = id * this.wordsPerBitSet + (engine >>> 5);
    bits[at] = (bits[at] ?? 0) | (1 << (engine & 31));
  }

  /** Clears a bit. The piece stays in the table, also when no engine has it any more. */
  clearBit(bits: Int32Array, id: number, engine: number): void {
    const at = id * this.wordsPerBitSet + (engine >>> 5);
    bits[at] = (bits[at] ?? 0) & ~(1 << (engine & 31));
  }

  /** Removes a piece from the table when no engine has it. */
  removeIfUncached(id: number): void {
    const start = id * this.wordsPerBitSet;
    for (let at = start; at < start + this.wordsPerBitSet; at += 1) {
      if (this.confirmed[at] !== 0 || this.assumed[at] !== 0) return;
    }
    this.removePiece(id);
  }

  /** Clears the bits of an engine in all pieces, except the assumed ones with `keepsAssumed`, and removes pieces that no engine has. */
  clearEngine(engine: number, keepsAssumed: boolean): void {
    for (let id = 0; id < this.keys.length; id += 1) {
      if (this.keys[id] === undefined) continue;
      this.clearBit(this.confirmed, id, engine);
      if (!keepsAssumed) this.clearBit(this.assumed, id, engine);
      this.removeIfUncached(id);
    }
  }

  /** Enlarges the bit sets to hold engine indexes below `engines`. */
  ensureEngineCapacity(engines: number): void {
    const needed = Math.ceil(engines / WORD_BITS);
    if (needed > this.wordsPerBitSet) this.replaceArrays(this.capacity, needed);
  }

  private evictPiece(): void {
    for (;;) {
      const id = this.clockHand;
      this.clockHand = (this.clockHand + 1) % this.keys.length;
      if (this.keys[id] === undefined) continue;
      if (this.used[id] === 0) {
        this.removePiece(id);
        return;
      }
      this.used[id] = 0;
    }
  }

  private removePiece(id: number): void {
    const key = this.keys[id];
    if (key === undefined) return;
    const start = id * this.wordsPerBitSet;
    this.confirmed.fill(0, start, start + this.wordsPerBitSet);
    this.assumed.fill(0, start, start + this.wordsPerBitSet);
    const idsByChain = this.scopes.get(key.scope);
    idsByChain?.delete(key.chain);
    if (idsByChain?.size === 0) this.scopes.delete(key.scope);
    this.keys[id] = undefined;
    this.freeIds.push(id);
    this.size -= 1;
  }

  private replaceArrays(capacity: number, words: number): void {
    const moveBits = (old: Int32Array): Int32Array<ArrayBuffer> => {
      const next = new Int32Array(capacity * words);
      for (let id = 0; id < this.capacity; id += 1) {
        next.set(old.subarray(id * this.wordsPerBitSet, (id + 1) * this.wordsPerBitSet), id * words);
      }
      return next;
    };
    this.confirmed = moveBits(this.confirmed);
    this.assumed = moveBits(this.assumed);
    const used = new Uint8Array(capacity);
    used.set(this.used);
    this.used = used;
    this.capacity = capacity;
    this.wordsPerBitSet = words;
  }
}
