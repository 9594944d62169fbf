import type { Server } from 'node:net';
import { parseAddress } from './parse-address.js';

/**
 * Makes a server listen on `IP:port`; port 0 selects a free port. Rejects when the address cannot be bound.
 *
 * @param backlog largest number of connections that wait to be accepted; defaults to that of Node
 */
export function openListener(server: Server, address: string, backlog?: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...parseAddress(address), ...(backlog !== undefined && { backlog }) }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
