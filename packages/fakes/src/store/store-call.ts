import type { IncomingMessage, ServerResponse } from 'node:http';
import type { StoreContext } from './store-context.js';

/** One request to the fake store. */
export interface StoreCall {
  readonly context: StoreContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Key of the piece, decoded; empty on paths without one. */
  readonly key: string;
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal;
}
