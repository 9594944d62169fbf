import type { IncomingMessage } from 'node:http';
import type { PeerError, Result } from '@laburnumshift/types';
import type { HttpAnswer } from './http-answer.js';
import type { OpenRequest } from './open-request.js';

/** A pool of keep-alive connections to one peer. */
export interface HttpPool {
  /** Sends a request and resolves with the response when its head has arrived. Aborting the signal destroys the connection. */
  readonly openAnswer: (request: OpenRequest) => Promise<Result<IncomingMessage, PeerError>>;
  /** Sends a request and reads the whole response, both within `limitMs`. */
  readonly callPeer: (request: OpenRequest) => Promise<Result<HttpAnswer, PeerError>>;
  /** Reads the body of a response as JSON within `limitMs`. */
  readonly readAnswer: (response: IncomingMessage, limitMs: number) => Promise<Result<HttpAnswer, PeerError>>;
  /** Closes all idle connections, because the peer may no longer answer on them; requests in progress continue. */
  readonly refreshConnections: () => void;
  readonly close: () => void;
}
