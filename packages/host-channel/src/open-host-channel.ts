import dgram from 'node:dgram';
import { parseAddress } from '@laburnumshift/addresses';
import { createLogger } from '@laburnumshift/logger';
import { pack, unpack } from 'msgpackr';
import type { HostChannel } from './host-channel.js';

type Handler = Parameters<HostChannel['handleMessages']>[1];

/** Opens a UDP socket at `IP:port`. Rejects with the error of the system, `EADDRINUSE` when the port is in use. */
export async function openHostChannel(address: string): Promise<HostChannel> {
  const logger = createLogger('channel');
  // Addresses are IP addresses, so no DNS lookup is needed.
  const socket = dgram.createSocket({
    type: 'udp4',
    lookup: (host, _, done) => {
      done(null, host, 4);
    },
  });
  const handlers = new Map<unknown, Handler>();
  let unreadableCount = 0;
  let isClosed = false;

  const recordUnreadable = (from: string, detail: string): void => {
    unreadableCount += 1;
    // Logs only the counts that are powers of two, so a faulty sender cannot flood the log.
    if ((unreadableCount & (unreadableCount - 1)) === 0)
      logger.warn('unreadable message', { from, detail, unreadable: unreadableCount });
  };
  const handleBytes = (bytes: Buffer, from: string): void => {
    const message: unknown = unpack(bytes);
    const handler = Array.isArray(message) ? handlers.get(message[0]) : undefined;
    if (handler === undefined) recordUnreadable(from, 'unknown kind');
    else if (!handler(message as unknown[], from)) recordUnreadable(from, 'malformed');
  };
  socket.on('message', (bytes, { address: ip, port }) => {
    const from = `${ip}:${String(port)}`;
    try {
      handleBytes(bytes, from);
    } catch (error) {
      recordUnreadable(from, String(error));
    }
  });
  await new Promise<void>((resolve, reject) => {
    const { host, port } = parseAddress(address);
    const fail = (error: Error): void => {
      socket.close();
      reject(error);
    };
    socket.once('error', fail);
    socket.bind(port, host, () => {
      socket.off('error', fail);
      resolve();
    });
  });
  socket.on('error', (error) => {
    logger.warn('UDP socket reported an error', { detail: error.message });
  });

  const bound = socket.address();
  return {
    address: `${bound.address}:${String(bound.port)}`,
    sendMessage: (addresses, message) => {
      if (isClosed || addresses.length === 0) return;
      const bytes = pack(message);
      for (const to of addresses) {
        const { host, port } = parseAddress(to);
        socket.send(bytes, port, host);
      }
    },
    handleMessages: (kind, handler) => {
      handlers.set(kind, handler);
    },
    countMalformed: () => unreadableCount,
    close: () => {
      isClosed = true;
      socket.close();
    },
  };
}
