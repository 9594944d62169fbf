import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Prompt tokens that an engine reads in a millisecond, bytes of a token, and the bytes that a link between zones carries in one. */
const READ_PER_MS = 64.2;
const TOKEN_BYTES = 163_840;
const LINK_BYTES_PER_MS = (550e9 / 8 / 1000) * 0.5;
/** A transfer that would wait for longer than this is not started. */
const MAX_WAIT_MS = 2000;

/**
 * Plays what engines and stores do with the cached parts of prompts: fetches, which take their time one after another on the link of an
 * engine, and saves. `onLostFetch` is called when a part is freed at a store while it is being fetched from there.
 */
export class CacheWorld {
  fetches = new Set();
  counts = { fetched: 0, missed: 0, saved: 0, freedParts: 0, thrownAway: 0 };
  linkFree = new Map();

  constructor(stores, onLostFetch) {
    this.stores = new Map(stores.map((store) => [store.address, store]));
    this.onLostFetch = onLostFetch;
    for (const store of stores) {
      const freePart = store.freePart.bind(store);
      store.freePart = (key) => {
        if (store.parts.has(key)) this.counts.freedParts += 1;
        const now = performance.now();
        for (const fetch of this.fetches)
          if (fetch.store === store && fetch.key === key && fetch.isWhole) onLostFetch(fetch, now);
        freePart(key);
      };
    }
  }

  /** Takes the link of an engine for one transfer. Returns undefined when the wait would be too long. */
  async transfer(engine, tokens) {
    const now = performance.now();
    const startMs = Math.max(now, this.linkFree.get(engine) ?? 0);
    if (startMs - now > MAX_WAIT_MS) return undefined;
    const endMs = startMs + 0.5 + (tokens * TOKEN_BYTES) / LINK_BYTES_PER_MS;
    this.linkFree.set(engine, endMs);
    return { startMs, endMs };
  }

  /** Reads the prompt of a request: parts come from the engine's own cache, from stores, or are read. */
  async readPrompt(engine, request) {
    const salt = request.headers['cache-salt'] ?? '';
    const parts = request.headers['prompt-prefix'].split(',').map((part) => part.split(':'));
    const sources = (request.headers['kv-fetch'] ?? '')
      .split(',')
      .map((source) => source.trim().split('/')[0]);
    const targets = (request.headers['kv-save'] ?? '').split(',').map((target) => target.trim());
    const untilMs = Number(request.headers['kv-until'] ?? Infinity);
    let hasAllBefore = true;
    for (const [index, [id, count]] of parts.entries()) {
      const tokens = Number(count);
      const key = JSON.stringify([salt, id]);
      if (hasAllBefore && engine.parts.has(key)) continue;
      const store = this.stores.get(sources[index]);
      let isFetched = false;
      if (hasAllBefore && store !== undefined) {
        const times = await this.transfer(engine, tokens);
        if (times !== undefined) {
          await sleep(times.startMs - performance.now());
          const isWhole = store.parts.has(key);
          const fetch = { id: request.headers['attempt-id'], engine, store, key, isWhole, untilMs, ...times };
          this.fetches.add(fetch);
          if (isWhole) await sleep(times.endMs - performance.now());
          this.fetches.delete(fetch);
          isFetched = isWhole && performance.now() <= untilMs;
          if (isWhole && !isFetched) this.counts.thrownAway += 1;
          this.counts[isFetched ? 'fetched' : 'missed'] += 1;
        }
      }
      if (isFetched) continue;
      hasAllBefore = false;
      await sleep(tokens / READ_PER_MS);
      const target = this.stores.get(targets[index]);
      if (target !== undefined && !target.parts.has(key)) void this.save(engine, target, key, tokens);
    }
    engine.cacheParts(request);
  }

  async save(engine, store, key, tokens) {
    if (store.usedTokens + tokens > store.capacityTokens) return;
    store.usedTokens += tokens;
    const times = await this.transfer(engine, tokens);
    if (times === undefined) {
      store.usedTokens -= tokens;
      return;
    }
    await sleep(times.endMs - performance.now());
    store.parts.set(key, { tokens, size: tokens });
    store.addEvent('+', key, tokens);
    this.counts.saved += 1;
  }
}
