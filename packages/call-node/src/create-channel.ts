import { pack } from 'msgpackr';
import { WebSocket } from 'ws';
import { readMonotonicMs } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { Channel } from './channel.js';
import { decodeFrame } from './decode-frame.js';
import type { Frame } from './frame.js';
import type { MeshCounts } from './mesh-counts.js';
import type { MeshLimits } from './mesh-limits.js';

/** Frames that wait for the reader before the socket is paused. */
const READ_AHEAD = 256;

/** Message types that come from the peer are counted by name only up to this number, to bound the counters. */
const KNOWN_TYPE = /^[a-z-]{1,32}$/;

/** Wraps an open WebSocket. A frame that cannot be decoded ends the channel with a log line. */
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
  let heardMs = readMonotonicMs();

  const closeChannel = (reason: string): void => {
    if (endReason !== undefined) return;
    endReason = reason;
    socket.terminate();
    waiting?.(undefined);
    waiting = undefined;
  };
  const observeBytes = (): void => {
    heardMs = readMonotonicMs();
  };
  const handleData = (data: Buffer): void => {
    observeBytes();
    if (endReason !== undefined) return;
    const frame = decodeFrame(data);
    if (frame === undefined) {
      counts.add('links.bad-frame');
      logger.warn('closes a link after a bad frame', { peer, bytes: data.length });
      closeChannel('bad frame');
      return;
    }
    const type = KNOWN_TYPE.test(frame.type) ? frame.type : 'other';
    counts.add(`received.${type}.messages`);
    counts.add(`received.${type}.bytes`, data.length);
    if (waiting !== undefined) {
      const resolve = waiting;
      waiting = undefined;
      resolve(frame);
      return;
    }
    frames.push(frame);
    if (frames.length >= READ_AHEAD) socket.pause();
  };
  socket.on('message', (data: Buffer) => {
    handleData(data);
  });
  socket.on('ping', observeBytes);
  socket.on('pong', observeBytes);
  socket.on('error', (error) => {
    // The code of `ws` for a frame over `maxPayload` or with an invalid header.
    if ('code' in error && String(error.code).startsWith('WS_ERR')) {
      counts.add('links.bad-frame');
      logger.warn('closes a link after a bad frame', { peer, detail: error.message });
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
      if (socket.bufferedAmount + bytes.length > limits.maxQueuedBytes) return 'queue-full';
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
    getSilenceMs: () => readMonotonicMs() - heardMs,
    end: closeChannel,
    getEndReason: () => endReason,
  };
}
