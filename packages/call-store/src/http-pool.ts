import type { IncomingMessage } from 'node:http';
import type { PeerError, Result } from '@laburnumshift/types';
import type { HttpResponse } from './http-response.js';
import type { HttpPoolRequest } from './http-pool-request.js';

/** A pool of keep-alive connections to one peer. */
export interface HttpPool {
  /** Sends a request and resolves with the response when its head has arrived. Aborting the signal destroys the connection. */
  readonly openResponse: (request: HttpPoolRequest) => Promise<Result<IncomingMessage, PeerError>>;
  /** Sends a request and reads the whole response, both within `timeoutMs`. */
  readonly sendRequest: (request: HttpPoolRequest) => Promise<Result<HttpResponse, PeerError>>;
  /** Reads the body of a response as JSON within `timeoutMs`. */
  readonly readResponse: (
    response: IncomingMessage,
    timeoutMs: number,
  ) => Promise<Result<HttpResponse, PeerError>>;
  /** Closes all idle connections, because the peer may no longer answer on them; requests in progress continue. */
  readonly closeIdleConnections: () => void;
  readonly close: () => void;
}
