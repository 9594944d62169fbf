import { startTimer } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { authenticateServer } from './authenticate-server.js';
import type { Channel } from './channel.js';
import type { Frame } from './frame.js';
import type { Identity } from './identity.js';
import type { MeshLimits } from './mesh-limits.js';
import type { ReplyCache } from './reply-cache.js';

/** Authenticates one incoming link and serves its requests until it ends. */
export async function serveLink(
  channel: Channel,
  self: Identity,
  secret: string,
  limits: MeshLimits,
  logger: Logger,
  getReplyCache: (instance: string) => ReplyCache,
  runRequest: (request: Frame, from: string) => Promise<Frame>,
): Promise<void> {
  const cancel = startTimer(limits.connectTimeoutMs, () => {
    channel.end('not authenticated in time');
  });
  const peer = await authenticateServer(channel, self, secret);
  cancel();
  if (peer === undefined) {
    logger.warn('refusing a link that failed to authenticate', { reason: channel.getEndReason() });
    channel.end('not authenticated');
    return;
  }
  const sendReply = async (reply: Promise<Frame>): Promise<void> => {
    const frame = await reply;
    const sent = channel.send(frame);
    if (sent === 'too-large') {
      channel.send({ ...frame, failed: true, body: 'the reply is over the frame limit' });
    } else if (sent === 'queue-full') {
      logger.warn('closing a link because its send queue is full', { peer: peer.address });
      channel.end('send queue full');
    }
  };
  for (;;) {
    const frame = await channel.next();
    if (frame === undefined) return;
    const cache = getReplyCache(peer.instance);
    if (cache.countRunning() >= limits.maxPendingRequests) {
      const busy = { id: 0, type: frame.type, replyTo: frame.id, failed: true, body: 'too many requests' };
      void sendReply(Promise.resolve(busy));
      continue;
    }
    void sendReply(cache.findReply(frame, () => runRequest(frame, peer.address)));
  }
}
