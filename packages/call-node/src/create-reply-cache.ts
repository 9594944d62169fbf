import { pack } from 'msgpackr';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { Frame } from './frame.js';
import type { MeshLimits } from './mesh-limits.js';
import type { ReplyCache } from './reply-cache.js';

interface Entry {
  readonly reply: Promise<Frame>;
  /** Size of a finished reply, bytes; 0 while it runs. */
  bytes: number;
  finishedMs: number | undefined;
}

/**
 * Creates the reply cache of one peer process. Request ids of a process rise. A request with an id at or below that of
 * an evicted reply may have run already, so it is refused.
 */
export function createReplyCache(limits: MeshLimits): ReplyCache {
  const entries = new Map<number, Entry>();
  let keptBytes = 0;
  let running = 0;
  let highestEvicted = -1;
  let usedMs = readMonotonicMs();

  const evictOld = (): void => {
    const oldest = readMonotonicMs() - limits.keepReplyMs;
    for (const [id, entry] of entries) {
      if (entry.finishedMs === undefined) continue;
      const full = keptBytes > limits.maxKeptBytes || entries.size > 2 * limits.maxPending;
      if (entry.finishedMs > oldest && !full) break;
      entries.delete(id);
      keptBytes -= entry.bytes;
      highestEvicted = Math.max(highestEvicted, id);
    }
  };

  return {
    findReply: (request, run) => {
      usedMs = readMonotonicMs();
      const known = entries.get(request.id);
      if (known !== undefined) return known.reply;
      if (request.id <= highestEvicted) {
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
        keptBytes += entry.bytes;
        entry.finishedMs = readMonotonicMs();
        evictOld();
      });
      return entry.reply;
    },
    countRunning: () => running,
    getIdleMs: () => readMonotonicMs() - usedMs,
  };
}
