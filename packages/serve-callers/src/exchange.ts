import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AccountConfig } from '@laburnumshift/types';
import type { CallerHandlers } from './caller-handlers.js';

/** An authenticated HTTP request with its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly handlers: CallerHandlers;
  readonly account: AccountConfig;
  readonly requestId: string;
  /** True when the caller chose the request id. */
  readonly hasCallerId: boolean;
  /** Time of acceptance, monotonic milliseconds. */
  readonly acceptedAtMs: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Largest request body. */
  readonly maxBodyBytes: number;
  /** Size of the response buffer from which on writing waits for the caller. */
  readonly maxBufferedBytes: number;
  /** How long a caller may stop reading while its buffer is full, milliseconds. */
  readonly stallTimeoutMs: number;
  /** Called when a caller is disconnected because it stopped reading. */
  readonly onStalledCaller: () => void;
}
