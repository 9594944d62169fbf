/** A map of at most `maxEntries` entries. When it is full, `set` removes the entry that was set longest ago. */
export class BoundedMap<V> extends Map<string, V> {
  constructor(readonly maxEntries: number) {
    super();
  }

  override set(key: string, value: V): this {
    this.delete(key);
    super.set(key, value);
    const oldest = this.size > this.maxEntries ? this.keys().next().value : undefined;
    if (oldest !== undefined) this.delete(oldest);
    return this;
  }
}
