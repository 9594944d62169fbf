import type { IncomingHttpHeaders } from 'node:http';

/** An answer whose body has been read. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Parsed JSON; `undefined` when the body is empty or no JSON. */
  readonly body: unknown;
}
