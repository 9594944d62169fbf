/** A request to the platform. */
export interface PlatformRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  /** Path and query, percent-encoded. */
  readonly path: string;
  /** Sent as JSON; absent for a request without a body. */
  readonly body?: unknown;
}
