import { pack } from 'msgpackr';
import { WebSocket } from 'ws';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { Channel } from './channel.js';
import { decodeFrame } from './decode-frame.js';
import type { Frame } from './frame.js';
import type { MeshCounts } from './mesh-counts.js';
import type { MeshLimits } from './mesh-limits.js';

/** Number of received frames that are buffered before the socket is paused. */
const MAX_BUFFERED_FRAMES = 256;

/** A received message type is counted by name only when it matches, else as `other`, which bounds the names of counters. */
const COUNTED_TYPE = /^[a-z-]{1,32}$/;

/** Creates a channel over a WebSocket. A frame that cannot be decoded is logged and ends the channel. */
export function createChannel(
  socket: WebSocket,
  peer: string,
  limits: MeshLimits,
  counts: MeshCounts,
  logger: Logger,
): Channel {
  const frames: Frame[] = [];
  let waiting: ((frame: Frame | undefined) => void) | undefined;
  let endReason: string | undefined;
  let lastReceivedMs = readMonotonicMs();

  const closeChannel = (reason: string): void => {
    if (endReason !== undefined) return;
    endReason = reason;
    socket.terminate();
    waiting?.(undefined);
    waiting = undefined;
  };
  const markReceived = (): void => {
    lastReceivedMs = readMonotonicMs();
  };
  const handleData = (data: Buffer): void => {
    markReceived();
    if (endReason !== undefined) return;
    const frame = decodeFrame(data);
    if (frame === undefined) {
      counts.add('links.bad-frame');
      logger.warn('closing a link after an invalid frame', { peer, bytes: data.length });
      closeChannel('invalid frame');
      return;
    }
    const type = COUNTED_TYPE.test(frame.type) ? frame.type : 'other';
    counts.add(`received.${type}.messages`);
    counts.add(`received.${type}.bytes`, data.length);
    if (waiting !== undefined) {
      const resolve = waiting;
      waiting = undefined;
      resolve(frame);
      return;
    }
    frames.push(frame);
    if (frames.length >= MAX_BUFFERED_FRAMES) socket.pause();
  };
  socket.on('message', (data: Buffer) => {
    handleData(data);
  });
  socket.on('ping', markReceived);
  socket.on('pong', markReceived);
  socket.on('error', (error) => {
    // Prefix of the error codes of `ws` for a frame over `maxPayload` or with an invalid header.
    if ('code' in error && String(error.code).startsWith('WS_ERR')) {
      counts.add('links.bad-frame');
      logger.warn('closing a link after an invalid frame', { peer, detail: error.message });
    }
    closeChannel(error.message);
  });
  socket.on('close', () => {
    closeChannel('closed by the peer');
  });

  return {
    send: (frame) => {
      if (endReason !== undefined || socket.readyState !== WebSocket.OPEN) return 'closed';
      const bytes = pack(frame);
      if (bytes.length > limits.maxFrameBytes) return 'too-large';
      if (socket.bufferedAmount + bytes.length > limits.maxSendQueueBytes) return 'queue-full';
      counts.add(`sent.${frame.type}.messages`);
      counts.add(`sent.${frame.type}.bytes`, bytes.length);
      socket.send(bytes);
      return 'sent';
    },
    next: () => {
      const frame = frames.shift();
      if (frame !== undefined) {
        if (frames.length === 0 && socket.isPaused) socket.resume();
        return Promise.resolve(frame);
      }
      if (endReason !== undefined) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
    ping: () => {
      if (socket.readyState === WebSocket.OPEN) socket.ping();
    },
    getSilenceMs: () => readMonotonicMs() - lastReceivedMs,
    end: closeChannel,
    getEndReason: () => endReason,
  };
}
