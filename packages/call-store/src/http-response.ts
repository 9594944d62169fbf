import type { IncomingHttpHeaders } from 'node:http';

/** A response whose body has been read completely. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Parsed JSON; `undefined` when the body is empty or not valid JSON. */
  readonly body: unknown;
}
