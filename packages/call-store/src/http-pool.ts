import type { IncomingMessage } from 'node:http';
import type { PeerError, Result } from '@laburnumshift/types';
import type { HttpAnswer } from './http-answer.js';
import type { OpenRequest } from './open-request.js';

/** A pool of keep-alive connections to one peer. */
export interface HttpPool {
  /** Sends a request and returns when the head of the answer is there. Aborting the signal destroys the connection. */
  readonly openAnswer: (request: OpenRequest) => Promise<Result<IncomingMessage, PeerError>>;
  /** Sends a request and reads the whole answer within the limit. */
  readonly callPeer: (request: OpenRequest) => Promise<Result<HttpAnswer, PeerError>>;
  /** Reads the rest of an answer as JSON. */
  readonly readAnswer: (response: IncomingMessage, limitMs: number) => Promise<Result<HttpAnswer, PeerError>>;
  /** Leaves all idle connections behind, because they may be silent; requests in progress go on. */
  readonly refreshConnections: () => void;
  readonly close: () => void;
}
