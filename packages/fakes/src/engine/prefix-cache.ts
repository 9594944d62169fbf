import type { CachedBlock } from './cached-block.js';

/** Cache of prompt blocks in modelled bytes; the least recently used block is evicted first. */
export class PrefixCache {
  private readonly blocks = new Map<string, CachedBlock>();
  private used = 0;
  private readonly capacity: number;
  private readonly notifyChange: (type: 'stored' | 'evicted', block: CachedBlock) => void;

  constructor(capacity: number, notifyChange: (type: 'stored' | 'evicted', block: CachedBlock) => void) {
    this.capacity = capacity;
    this.notifyChange = notifyChange;
  }

  findBlock(scope: string, chain: string): CachedBlock | undefined {
    return this.blocks.get(`${scope}:${chain}`);
  }

  /** Counts as a use: the first block becomes the most recent one, so that a prompt loses its end first. */
  refreshBlocks(blocks: readonly CachedBlock[]): void {
    for (const block of [...blocks].reverse()) {
      const key = `${block.scope}:${block.chain}`;
      if (this.blocks.delete(key)) this.blocks.set(key, block);
    }
  }

  insertBlock(block: CachedBlock): void {
    const key = `${block.scope}:${block.chain}`;
    if (this.blocks.has(key) || block.bytes > this.capacity) return;
    this.blocks.set(key, block);
    this.used += block.bytes;
    this.notifyChange('stored', block);
    for (const [oldKey, old] of this.blocks) {
      if (this.used <= this.capacity) break;
      this.evictBlock(oldKey, old);
    }
  }

  clearBlocks(): void {
    for (const [key, block] of this.blocks) this.evictBlock(key, block);
  }

  listBlocks(): CachedBlock[] {
    return [...this.blocks.values()];
  }

  private evictBlock(key: string, block: CachedBlock): void {
    this.blocks.delete(key);
    this.used -= block.bytes;
    this.notifyChange('evicted', block);
  }
}
