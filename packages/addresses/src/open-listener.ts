import type { Server } from 'node:net';
import { splitAddress } from './split-address.js';

/**
 * Listens on `IP:port`; rejects when that fails.
 *
 * @param backlog connections that may wait to be accepted; else the default of the runtime
 */
export function openListener(server: Server, address: string, backlog?: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...splitAddress(address), ...(backlog !== undefined && { backlog }) }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
