import { createEntryClient, type EntryClient } from '@laburnumshift/call-entry';
import type { CallerClients } from './caller-clients.js';

/** Creates the table of clients; each node start has connections of its own. */
export function createCallerClients(): CallerClients {
  const clients = new Map<string, EntryClient>();
  return {
    getClient: (node, key) => {
      const name = `${node.life.node} ${key}`;
      const client = clients.get(name) ?? createEntryClient(node.process.callersUrl, key);
      clients.set(name, client);
      return client;
    },
    close: () => {
      for (const client of clients.values()) client.close();
    },
  };
}
