/** One attempt of a platform call. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  /** Path and query, encoded. */
  readonly path: string;
  readonly body?: unknown;
}
