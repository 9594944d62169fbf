import { pack } from 'msgpackr';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { Frame } from './frame.js';
import type { MeshLimits } from './mesh-limits.js';
import type { ReplyCache } from './reply-cache.js';

interface Entry {
  readonly reply: Promise<Frame>;
  /** Size of the encoded reply, bytes; 0 while the request runs. */
  bytes: number;
  /** Monotonic time at which the request finished, milliseconds. */
  finishedMs: number | undefined;
}

/**
 * Creates the reply cache of one peer process. The request ids of a process increase. A request whose id is not above that of
 * every evicted reply is refused, because it may have run already.
 */
export function createReplyCache(limits: MeshLimits): ReplyCache {
  const entries = new Map<number, Entry>();
  let cachedBytes = 0;
  let running = 0;
  let highestEvictedId = -1;
  let lastUsedMs = readMonotonicMs();

  const evictOld = (): void => {
    const oldest = readMonotonicMs() - limits.replyRetentionMs;
    for (const [id, entry] of entries) {
      if (entry.finishedMs === undefined) continue;
      const full = cachedBytes > limits.maxCachedReplyBytes || entries.size > 2 * limits.maxPendingRequests;
      if (entry.finishedMs > oldest && !full) break;
      entries.delete(id);
      cachedBytes -= entry.bytes;
      highestEvictedId = Math.max(highestEvictedId, id);
    }
  };

  return {
    findReply: (request, run) => {
      lastUsedMs = readMonotonicMs();
      const known = entries.get(request.id);
      if (known !== undefined) return known.reply;
      if (request.id <= highestEvictedId) {
        return Promise.resolve({
          id: 0,
          type: request.type,
          replyTo: request.id,
          failed: true,
          body: 'the request came too late',
        });
      }
      running += 1;
      const entry: Entry = { reply: run(), bytes: 0, finishedMs: undefined };
      entries.set(request.id, entry);
      void entry.reply.then((reply) => {
        running -= 1;
        entry.bytes = pack(reply).length;
        cachedBytes += entry.bytes;
        entry.finishedMs = readMonotonicMs();
        evictOld();
      });
      return entry.reply;
    },
    countRunning: () => running,
    getIdleMs: () => readMonotonicMs() - lastUsedMs,
  };
}
