/** The path arguments and query parameters of an operator request. */
export interface OperatorCall {
  /** Percent-decoded path segments after the endpoint name. */
  readonly args: readonly string[];
  readonly query: URLSearchParams;
}
