import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { createServer as createPlainServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { WebSocketServer } from 'ws';
import { runEvery, waitWithTimeout } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { NodeCallError, NodeMesh, NodeMessageType, NodeMessages, Result } from '@laburnumshift/types';
import type { Channel } from './channel.js';
import { checkBody } from './check-body.js';
import { createChannel } from './create-channel.js';
import { createLink } from './create-link.js';
import { createMeshCounts } from './create-mesh-counts.js';
import { createReplyCache } from './create-reply-cache.js';
import { DEFAULT_LIMITS } from './default-limits.js';
import type { Frame } from './frame.js';
import type { Link } from './link.js';
import type { NodeMeshOptions } from './node-mesh-options.js';
import { openChannel } from './open-channel.js';
import type { ReplyCache } from './reply-cache.js';
import { serveLink } from './serve-link.js';

type Handler = (body: unknown, from: string) => Promise<unknown>;

/**
 * Listens for links of other nodes and creates links to them on demand. Handlers get the mesh address of the sender. Rejects
 * when the address cannot be bound or a TLS file cannot be read.
 */
export async function createNodeMesh(options: NodeMeshOptions): Promise<NodeMesh> {
  const limits = { ...DEFAULT_LIMITS, ...options.limits };
  const logger = createLogger('mesh');
  const counts = createMeshCounts();
  const handlers = new Map<string, Handler>();
  const links = new Map<string, Link>();
  const incomingChannels = new Set<Channel>();
  const replyCaches = new Map<string, ReplyCache>();
  const instance = randomUUID();
  let nextId = 1;
  let closed = false;

  const tls =
    options.tls === undefined
      ? undefined
      : { cert: await readFile(options.tls.certFile), key: await readFile(options.tls.keyFile) };
  const server = tls === undefined ? createPlainServer() : createTlsServer(tls);
  const split = options.listen.lastIndexOf(':');
  const ip = options.listen.slice(0, split);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(options.listen.slice(split + 1)), ip.replace(/^\[|\]$/g, ''), resolve);
  });
  const address = `${ip}:${String((server.address() as AddressInfo).port)}`;
  const self = { address, instance };

  const runHandler = async (type: string, body: unknown, from: string): Promise<unknown> => {
    const handler = handlers.get(type);
    if (handler === undefined) throw new Error('no handler for this message type');
    const problem = checkBody(type, body);
    if (problem !== undefined) {
      counts.add('bodies.refused');
      logger.warn('refusing a message with an invalid body', { type, from, problem });
      throw new Error('the body of the message is not valid');
    }
    return handler(body, from);
  };
  const describeError = (error: unknown): string => (error instanceof Error ? error.message : String(error));
  const runRequest = async (request: Frame, from: string): Promise<Frame> => {
    try {
      const body = await runHandler(request.type, request.body, from);
      return { id: 0, type: request.type, replyTo: request.id, body };
    } catch (error) {
      const body = describeError(error);
      return { id: 0, type: request.type, replyTo: request.id, failed: true, body };
    }
  };
  const getReplyCache = (peer: string): ReplyCache => {
    const cache = replyCaches.get(peer) ?? createReplyCache(limits);
    replyCaches.set(peer, cache);
    return cache;
  };

  const webSocketServer = new WebSocketServer({
    server,
    maxPayload: limits.maxFrameBytes,
    perMessageDeflate: false,
  });
  webSocketServer.on('error', (error) => {
    logger.error('the listener of the node mesh failed', { detail: error.message });
  });
  webSocketServer.on('connection', (socket, request) => {
    if (incomingChannels.size >= limits.maxIncomingLinks) {
      logger.warn('refusing a link: the limit of incoming links is reached', {
        links: incomingChannels.size,
      });
      socket.terminate();
      return;
    }
    const channel = createChannel(socket, String(request.socket.remoteAddress), limits, counts, logger);
    incomingChannels.add(channel);
    void serveLink(channel, self, options.secret, limits, logger, getReplyCache, runRequest).finally(() => {
      incomingChannels.delete(channel);
    });
  });
  const stopMaintenance = runEvery(
    limits.heartbeatMs,
    () => {
      for (const [peer, cache] of replyCaches) {
        if (cache.countRunning() === 0 && cache.getIdleMs() > 3 * limits.replyRetentionMs)
          replyCaches.delete(peer);
      }
      for (const link of links.values()) link.checkLiveness();
      // The connecting side pings an unused link too, so after this silence the connection counts as lost.
      for (const channel of incomingChannels) {
        if (channel.getSilenceMs() > limits.unusedLinkPingMs + 2 * limits.silentMs) channel.end('silent');
      }
    },
    (error) => {
      logger.error('the maintenance of links failed', { detail: String(error) });
    },
  );

  const getLink = (peer: string): Link => {
    const known = links.get(peer);
    if (known !== undefined) return known;
    const link = createLink(
      peer,
      limits,
      counts,
      logger,
      () => openChannel(peer, self, options.secret, tls, limits, counts, logger),
      () => {
        if (links.get(peer) === link) links.delete(peer);
      },
    );
    links.set(peer, link);
    return link;
  };
  const callSelf = async (
    type: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, NodeCallError>> => {
    const run = runHandler(type, body, address).then(
      (value): Result<unknown, NodeCallError> => ({ ok: true, value }),
      (error: unknown): Result<unknown, NodeCallError> => ({
        ok: false,
        error: { kind: 'refused', detail: describeError(error) },
      }),
    );
    const detail = `no reply in ${String(timeoutMs)} ms`;
    return (await waitWithTimeout(run, timeoutMs)) ?? { ok: false, error: { kind: 'timeout', detail } };
  };

  const callNode = <T extends NodeMessageType>(
    peer: string,
    type: T,
    body: NodeMessages[T]['body'],
    timeoutMs: number,
  ): Promise<Result<NodeMessages[T]['reply'], NodeCallError>> => {
    if (closed) return Promise.resolve({ ok: false, error: { kind: 'unreachable', detail: 'closed' } });
    if (peer === address) return callSelf(type, body, timeoutMs);
    return getLink(peer).sendRequest(nextId++, type, body, timeoutMs);
  };

  return {
    callNode,
    handleMessage: (type, handler) => {
      if (handlers.has(type)) throw new Error(`message type '${type}' already has a handler`);
      handlers.set(type, handler);
    },
    getAddress: () => address,
    getCounts: counts.get,
    close: async () => {
      closed = true;
      stopMaintenance();
      for (const link of [...links.values()]) link.close('closed');
      for (const channel of incomingChannels) channel.end('closed');
      webSocketServer.close();
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}
