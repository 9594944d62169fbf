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
  /** Closes the idle connections to a server that is no longer registered; those with calls are closed after them. */
  readonly removeBackend: (id: string) => void;
  /** Closes the idle connections to all servers; those with calls are closed after them. */
  readonly closeIdleConnections: () => void;
  /** Closes all connections; calls on them fail. */
  readonly close: () => void;
}
