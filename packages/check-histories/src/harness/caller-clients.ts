import type { EntryClient } from '@laburnumshift/call-entry';
import type { FleetNode } from './fleet-node.js';

/** Clients of the accounts at the nodes of a run. */
export interface CallerClients {
  readonly getClient: (node: FleetNode, key: string) => EntryClient;
  readonly close: () => void;
}
