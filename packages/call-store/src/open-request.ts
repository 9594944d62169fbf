/** A request whose answer is opened. */
export interface OpenRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly body?: unknown;
  /** Time until the head of the answer, milliseconds. */
  readonly limitMs: number;
  readonly signal?: AbortSignal | undefined;
}
