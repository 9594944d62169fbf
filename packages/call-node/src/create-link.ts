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

interface Pending {
  readonly frame: Frame;
  readonly finish: (reply: Reply) => void;
  sent: boolean;
}

/**
 * Creates the outgoing link to one node. It connects at the first request. When the channel is silent or breaks, a new
 * one is opened, requests without a reply are asked again there with the same id, and the old one is closed. They are
 * asked again only from the same process, which keeps its replies; a replaced process would run them a second time.
 */
export function createLink(
  address: string,
  limits: MeshLimits,
  counts: MeshCounts,
  logger: Logger,
  open: () => Promise<{ readonly channel: Channel; readonly peer: Identity } | string>,
  onEnd: () => void,
): Link {
  const pending = new Map<number, Pending>();
  let channel: Channel | undefined;
  let instance: string | undefined;
  let usedMs = readMonotonicMs();
  let ended = false;
  let waitingSinceMs = 0;
  let checkBeat = (): void => undefined;

  const finishAll = (error: NodeCallError): void => {
    for (const entry of [...pending.values()]) entry.finish({ ok: false, error });
  };
  const closeLink = (detail: string): void => {
    if (ended) return;
    ended = true;
    channel?.end(detail);
    onEnd();
    finishAll({ kind: 'unreachable', detail });
  };
  const sendPending = (entry: Pending): void => {
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
  /** Returns when the channel is silent, broken or idle. */
  const watchChannel = (source: Channel): Promise<'lost' | 'idle'> =>
    new Promise((resolve) => {
      const finishWatch = (result: 'lost' | 'idle'): void => {
        checkBeat = () => undefined;
        resolve(result);
      };
      checkBeat = () => {
        const isWaiting = pending.size > 0;
        // Quiet links are pinged rarely, so the silence that a request meets counts from when it was sent.
        const silenceMs = source.getSilenceMs();
        const requestMs = isWaiting ? Math.min(silenceMs, readMonotonicMs() - waitingSinceMs) : 0;
        if (requestMs > limits.silentMs || silenceMs > limits.quietMs + limits.silentMs) finishWatch('lost');
        else if (!isWaiting && readMonotonicMs() - usedMs > limits.idleMs) finishWatch('idle');
        else if (isWaiting || silenceMs >= limits.quietMs) source.ping();
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
      const old = channel;
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
      old?.end('replaced');
      const result = await watchChannel(channel);
      if (result === 'idle' || pending.size === 0) {
        closeLink(channel.getEndReason() ?? 'idle');
        return;
      }
      counts.add('links.replaced');
      logger.info('replaces a link', { address, reason: channel.getEndReason() ?? 'silent' });
    }
  };
  void runLink();

  return {
    sendRequest: (id, type, body, timeoutMs) => {
      usedMs = readMonotonicMs();
      if (pending.size >= limits.maxPending) {
        return Promise.resolve({ ok: false, error: { kind: 'refused', detail: 'too many requests wait' } });
      }
      return new Promise((resolve) => {
        const cancel = startTimer(timeoutMs, () => {
          entry.finish({
            ok: false,
            error: { kind: 'timeout', detail: `no reply in ${String(timeoutMs)} ms` },
          });
        });
        const entry: Pending = {
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
    checkBeat: () => {
      checkBeat();
    },
    close: closeLink,
  };
}
