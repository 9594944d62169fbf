import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AccountConfig } from '@laburnumshift/types';
import type { CallerHandlers } from './caller-handlers.js';

/** One authenticated request with its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly handlers: CallerHandlers;
  readonly account: AccountConfig;
  readonly requestId: string;
  /** True when the caller chose the id. */
  readonly named: boolean;
  readonly acceptedAtMs: number;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
  readonly maxBodyBytes: number;
  readonly maxBufferedBytes: number;
  readonly stallTimeoutMs: number;
  /** Counts a caller that was cut because it stopped reading. */
  readonly onStall: () => void;
}
