import type { IncomingMessage, ServerResponse } from 'node:http';

/** Options of a server with fault switches. */
export interface FaultServerOptions {
  /** IP address to listen on; loopback by default. */
  readonly ip?: string | undefined;
  readonly port?: number | undefined;
  /** Handles a request that no fault has taken. Must check `isCurrent` after each wait. */
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
    isCurrent: () => boolean,
  ) => Promise<void>;
}
