/** An HTTP response to an operator. */
export interface OperatorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** A string is sent as `text/plain`; any other value is serialized as JSON. */
  readonly body: unknown;
}
