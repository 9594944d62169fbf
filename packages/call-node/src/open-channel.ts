import { WebSocket } from 'ws';
import { waitWithTimeout } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { authenticateClient } from './authenticate-client.js';
import type { Channel } from './channel.js';
import { createChannel } from './create-channel.js';
import type { Identity } from './identity.js';
import type { MeshCounts } from './mesh-counts.js';
import type { MeshLimits } from './mesh-limits.js';
import type { TlsFiles } from './tls-files.js';

/** Connects to a node and authenticates both sides within `connectTimeoutMs`. Returns a text with the reason on failure. */
export async function openChannel(
  address: string,
  self: Identity,
  secret: string,
  tls: TlsFiles | undefined,
  limits: MeshLimits,
  counts: MeshCounts,
  logger: Logger,
): Promise<{ readonly channel: Channel; readonly peer: Identity } | string> {
  const socket = new WebSocket(`${tls === undefined ? 'ws' : 'wss'}://${address}`, {
    maxPayload: limits.maxFrameBytes,
    perMessageDeflate: false,
    handshakeTimeout: limits.connectTimeoutMs,
    // Nodes are addressed by IP, so the host name of the certificate is not checked. The certificate is verified against
    // the trust anchor, and the challenge proves the identity. `tls.connect` takes a falsy result as no error.
    ...(tls === undefined ? {} : { ca: tls.cert, checkServerIdentity: () => false }),
  });
  const channel = createChannel(socket, address, limits, counts, logger);
  const authenticate = async (): Promise<Identity | undefined> => {
    await new Promise<void>((resolve) => {
      socket.once('open', resolve);
      socket.once('close', () => {
        resolve();
      });
    });
    if (channel.getEndReason() !== undefined) return undefined;
    return authenticateClient(channel, self, secret);
  };
  const peer = await waitWithTimeout(authenticate(), limits.connectTimeoutMs);
  if (peer !== undefined) {
    counts.add('links.opened');
    return { channel, peer };
  }
  const reason = channel.getEndReason() ?? 'not authenticated in time';
  channel.end(reason);
  counts.add('links.failed');
  return reason;
}
