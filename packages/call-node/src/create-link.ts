import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { NodeCallError, Result } from '@laburnumshift/types';
import type { Channel } from './channel.js';
import type { Frame } from './frame.js';
import type { Identity } from './identity.js';
import type { Link } from './link.js';
import type { MeshCounts } from './mesh-counts.js';
import type { MeshLimits } from './mesh-limits.js';

type Reply = Result<unknown, NodeCallError>;

interface PendingRequest {
  readonly frame: Frame;
  readonly finish: (reply: Reply) => void;
  sent: boolean;
}

/**
 * Creates the outgoing link to one node and connects. When the channel is silent or fails while requests wait for replies, a
 * new channel replaces it, and these requests are resent there with the same ids. A request that was sent before is resent
 * only to the same process, which caches its replies; after a restart of the peer it fails, because the new process would
 * run it a second time.
 */
export function createLink(
  address: string,
  limits: MeshLimits,
  counts: MeshCounts,
  logger: Logger,
  open: () => Promise<{ readonly channel: Channel; readonly peer: Identity } | string>,
  onEnd: () => void,
): Link {
  const pending = new Map<number, PendingRequest>();
  let channel: Channel | undefined;
  let instance: string | undefined;
  let lastUsedMs = readMonotonicMs();
  let ended = false;
  let waitingSinceMs = 0;
  let checkLiveness = (): void => undefined;

  const failPending = (error: NodeCallError): void => {
    for (const entry of [...pending.values()]) entry.finish({ ok: false, error });
  };
  const closeLink = (detail: string): void => {
    if (ended) return;
    ended = true;
    channel?.end(detail);
    onEnd();
    failPending({ kind: 'unreachable', detail });
  };
  const sendPending = (entry: PendingRequest): void => {
    const sent = channel?.send(entry.frame);
    if (sent === 'sent') entry.sent = true;
    else if (sent === 'queue-full' || sent === 'too-large') {
      entry.finish({ ok: false, error: { kind: 'refused', detail: sent } });
    }
  };
  const handleReply = (frame: Frame): void => {
    const entry = frame.replyTo === undefined ? undefined : pending.get(frame.replyTo);
    if (entry === undefined) return;
    if (frame.failed === true) {
      entry.finish({ ok: false, error: { kind: 'refused', detail: String(frame.body) } });
    } else {
      entry.finish({ ok: true, value: frame.body });
    }
  };
  const readReplies = async (source: Channel): Promise<void> => {
    for (;;) {
      const frame = await source.next();
      if (frame === undefined) return;
      handleReply(frame);
    }
  };
  /** Resolves with `lost` when the channel is silent or has ended, and with `idle` when no request used it for `idleTimeoutMs`. */
  const watchChannel = (source: Channel): Promise<'lost' | 'idle'> =>
    new Promise((resolve) => {
      const finishWatch = (result: 'lost' | 'idle'): void => {
        checkLiveness = () => undefined;
        resolve(result);
      };
      checkLiveness = () => {
        const isWaiting = pending.size > 0;
        // A link without pending requests is pinged rarely, so its silence before the first pending request does not count.
        const silenceMs = source.getSilenceMs();
        const requestMs = isWaiting ? Math.min(silenceMs, readMonotonicMs() - waitingSinceMs) : 0;
        if (requestMs > limits.silentMs || silenceMs > limits.unusedLinkPingMs + limits.silentMs)
          finishWatch('lost');
        else if (!isWaiting && readMonotonicMs() - lastUsedMs > limits.idleTimeoutMs) finishWatch('idle');
        else if (isWaiting || silenceMs >= limits.unusedLinkPingMs) source.ping();
      };
      source.ping();
      void readReplies(source).then(() => {
        finishWatch('lost');
      });
    });
  const runLink = async (): Promise<void> => {
    for (;;) {
      const opened = await open();
      if (typeof opened === 'string') {
        closeLink(opened);
        return;
      }
      const previous = channel;
      channel = opened.channel;
      if (ended) {
        channel.end('closed');
        return;
      }
      const replaced = instance !== undefined && instance !== opened.peer.instance;
      instance = opened.peer.instance;
      for (const entry of [...pending.values()]) {
        if (replaced && entry.sent) {
          entry.finish({ ok: false, error: { kind: 'unreachable', detail: 'the process was replaced' } });
        } else sendPending(entry);
      }
      previous?.end('replaced');
      const result = await watchChannel(channel);
      if (result === 'idle' || pending.size === 0) {
        closeLink(channel.getEndReason() ?? 'idle');
        return;
      }
      counts.add('links.replaced');
      logger.info('replacing a link', { address, reason: channel.getEndReason() ?? 'silent' });
    }
  };
  void runLink();

  return {
    sendRequest: (id, type, body, timeoutMs) => {
      lastUsedMs = readMonotonicMs();
      if (pending.size >= limits.maxPendingRequests) {
        return Promise.resolve({ ok: false, error: { kind: 'refused', detail: 'too many requests wait' } });
      }
      return new Promise((resolve) => {
        const cancel = startTimer(timeoutMs, () => {
          entry.finish({
            ok: false,
            error: { kind: 'timeout', detail: `no reply in ${String(timeoutMs)} ms` },
          });
        });
        const entry: PendingRequest = {
          frame: { id, type, body },
          sent: false,
          finish: (reply) => {
            cancel();
            if (pending.delete(id)) resolve(reply);
          },
        };
        if (pending.size === 0) waitingSinceMs = readMonotonicMs();
        pending.set(id, entry);
        sendPending(entry);
      });
    },
    checkLiveness: () => {
      checkLiveness();
    },
    close: closeLink,
  };
}
