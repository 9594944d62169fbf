import type { BackendCall, BackendEntry } from '@laburnumshift/forward-types';
import type { SendHandlers } from './send-handlers.js';
import type { OutgoingCall } from './outgoing-call.js';

/** Pool of the HTTP connections to all backend servers. */
export interface BackendPool {
  /** Sends a call with its complete body. `maxConnections` limits the connections from this host to the server. */
  readonly sendCall: (
    backend: BackendEntry,
    maxConnections: number,
    call: BackendCall,
    body: Buffer,
    handlers: SendHandlers,
  ) => OutgoingCall;
  /** Returns how many connections are open, and how many there may be to the servers that have had calls. */
  readonly countConnections: () => { readonly open: number; readonly max: number };
  /** Closes the idle connections to a server that is no longer registered; those with calls are closed after them. */
  readonly removeBackend: (id: string) => void;
  /** Closes the idle connections to all servers; those with calls are closed after them. */
  readonly closeIdleConnections: () => void;
  /** Closes all connections; calls on them fail. */
  readonly close: () => void;
}
