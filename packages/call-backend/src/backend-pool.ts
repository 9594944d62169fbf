import type { BackendCall, BackendEntry } from '@laburnumshift/forward-types';
import type { SendHandlers } from './send-handlers.js';
import type { SentCall } from './sent-call.js';

/** Connections to all backend servers. */
export interface BackendPool {
  /** Sends a call with its whole body. `maxConnections` bounds this host's connections to the server. */
  readonly sendCall: (
    backend: BackendEntry,
    maxConnections: number,
    call: BackendCall,
    body: Buffer,
    handlers: SendHandlers,
  ) => SentCall;
  /** Closes the connections to a server that left. */
  readonly dropBackend: (id: string) => void;
  /** Closes idle connections; those with calls are closed after them. */
  readonly closeIdle: () => void;
  readonly close: () => void;
}
