import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EngineState } from './engine-state.js';

/** One request to the fake engine. */
export interface EngineCall {
  readonly state: EngineState;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}
