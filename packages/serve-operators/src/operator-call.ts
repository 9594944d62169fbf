/** A parsed request of an operator. */
export interface OperatorCall {
  /** Decoded path segments after the first. */
  readonly args: readonly string[];
  readonly query: URLSearchParams;
}
