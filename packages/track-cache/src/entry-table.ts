/** Bits in one word of a bit set. */
const WORD_BITS = 32;

const FIRST_CAPACITY = 1_024;

/**
 * Pieces and the engines that have them. Two bit sets over engine indexes for each piece lie in flat arrays, one for pieces that
 * events confirmed and one for assumed pieces, so that an entry costs few bytes and a prefix is counted word by word. When the
 * table is full, a piece that was not used since the hand last passed makes room (second chance).
 */
export class EntryTable {
  /** Words in one bit set. */
  words = 1;
  confirmed = new Int32Array(FIRST_CAPACITY);
  assumed = new Int32Array(FIRST_CAPACITY);
  private used = new Uint8Array(FIRST_CAPACITY);
  private capacity = FIRST_CAPACITY;
  private size = 0;
  private hand = 0;
  private readonly free: number[] = [];
  private readonly scopes = new Map<string, Map<string, number>>();
  private readonly places: ({ readonly scope: string; readonly chain: string } | undefined)[] = [];
  private readonly maxEntries: number;

  constructor(maxEntries: number) {
    this.maxEntries = maxEntries;
  }

  /** Pieces in the table. */
  get count(): number {
    return this.size;
  }

  /** Numbers of a scope's pieces by chain. */
  findScope(scope: string): ReadonlyMap<string, number> | undefined {
    return this.scopes.get(scope);
  }

  findEntry(scope: string, chain: string): number | undefined {
    return this.scopes.get(scope)?.get(chain);
  }

  /** Finds a piece or adds it without engines. */
  addEntry(scope: string, chain: string): number {
    const found = this.findEntry(scope, chain);
    if (found !== undefined) return found;
    if (this.size >= this.maxEntries) this.evictOne();
    const id = this.free.pop() ?? this.places.length;
    if (id >= this.capacity) this.replaceArrays(this.capacity * 2, this.words);
    this.places[id] = { scope, chain };
    const chains = this.scopes.get(scope) ?? new Map<string, number>();
    if (chains.size === 0) this.scopes.set(scope, chains);
    chains.set(chain, id);
    this.size += 1;
    this.used[id] = 1;
    return id;
  }

  markUsed(id: number): void {
    this.used[id] = 1;
  }

  hasBit(bits: Int32Array, id: number, engine: number): boolean {
    return ((bits[id * this.words + (engine >>> 5)] ?? 0) & (1 << (engine & 31))) !== 0;
  }

  setBit(bits: Int32Array, id: number, engine: number): void {
    const at = id * this.words + (engine >>> 5);
    bits[at] = (bits[at] ?? 0) | (1 << (engine & 31));
  }

  /** Clears a bit and leaves the piece in the table. */
  clearBit(bits: Int32Array, id: number, engine: number): void {
    const at = id * this.words + (engine >>> 5);
    bits[at] = (bits[at] ?? 0) & ~(1 << (engine & 31));
  }

  /** Frees a piece that no engine has. */
  dropUnused(id: number): void {
    const from = id * this.words;
    for (let at = from; at < from + this.words; at += 1) {
      if (this.confirmed[at] !== 0 || this.assumed[at] !== 0) return;
    }
    this.dropEntry(id);
  }

  /** Clears the bits of an engine in all pieces. */
  clearEngine(engine: number, keepsAssumed: boolean): void {
    for (let id = 0; id < this.places.length; id += 1) {
      if (this.places[id] === undefined) continue;
      this.clearBit(this.confirmed, id, engine);
      if (!keepsAssumed) this.clearBit(this.assumed, id, engine);
      this.dropUnused(id);
    }
  }

  /** Makes room for engine indexes below `engines`. */
  ensureWords(engines: number): void {
    const needed = Math.ceil(engines / WORD_BITS);
    if (needed > this.words) this.replaceArrays(this.capacity, needed);
  }

  private evictOne(): void {
    for (;;) {
      const id = this.hand;
      this.hand = (this.hand + 1) % this.places.length;
      if (this.places[id] === undefined) continue;
      if (this.used[id] === 0) {
        this.dropEntry(id);
        return;
      }
      this.used[id] = 0;
    }
  }

  private dropEntry(id: number): void {
    const place = this.places[id];
    if (place === undefined) return;
    const from = id * this.words;
    this.confirmed.fill(0, from, from + this.words);
    this.assumed.fill(0, from, from + this.words);
    const chains = this.scopes.get(place.scope);
    chains?.delete(place.chain);
    if (chains?.size === 0) this.scopes.delete(place.scope);
    this.places[id] = undefined;
    this.free.push(id);
    this.size -= 1;
  }

  private replaceArrays(capacity: number, words: number): void {
    const moveBits = (old: Int32Array): Int32Array<ArrayBuffer> => {
      const next = new Int32Array(capacity * words);
      for (let id = 0; id < this.capacity; id += 1) {
        next.set(old.subarray(id * this.words, (id + 1) * this.words), id * words);
      }
      return next;
    };
    this.confirmed = moveBits(this.confirmed);
    this.assumed = moveBits(this.assumed);
    const used = new Uint8Array(capacity);
    used.set(this.used);
    this.used = used;
    this.capacity = capacity;
    this.words = words;
  }
}
