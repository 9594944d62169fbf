/** A parsed request to the fake. */
export interface PlatformCall {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly body: unknown;
  /** Bytes of the body. */
  readonly size: number;
  /** Aborts when the caller closes the connection or the fake stops. */
  readonly signal: AbortSignal;
}
