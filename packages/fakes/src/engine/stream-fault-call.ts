import type { ServerResponse } from 'node:http';
import type { EngineToken } from '@laburnumshift/types';
import type { EngineRun } from './engine-run.js';
import type { EngineState } from './engine-state.js';

/** The stream and the token at which a stream fault takes effect. */
export interface StreamFaultCall {
  readonly state: EngineState;
  readonly run: EngineRun;
  readonly response: ServerResponse;
  readonly token: EngineToken;
  readonly send: (data: string) => void;
}
