/** A set of pieces of bounded size that drops the least recently used one. */
export class PieceCache {
  private readonly chains = new Map<string, true>();

  constructor(
    private readonly capacity: number,
    private readonly onDrop: (chain: string) => void = () => undefined,
  ) {}

  has(chain: string): boolean {
    return this.chains.has(chain);
  }

  /** Adds a piece, or marks it as used. */
  add(chain: string): void {
    this.chains.delete(chain);
    this.chains.set(chain, true);
    if (this.chains.size <= this.capacity) return;
    const [oldest] = this.chains.keys();
    if (oldest === undefined) return;
    this.chains.delete(oldest);
    this.onDrop(oldest);
  }

  remove(chain: string): boolean {
    return this.chains.delete(chain);
  }

  clear(): void {
    this.chains.clear();
  }
}
