/**
 * Counts the received bytes of one answer that are not part of its body: headers, chunk framing, trailers, and bytes that belong to
 * no answer.
 */
export interface FramingMeter {
  /** Sets the number of bytes that the connection has received since the call was sent. */
  readonly setReceivedBytes: (bytes: number) => void;
  /** Adds to the number of body bytes. */
  readonly addBodyBytes: (bytes: number) => void;
  /** True when more bytes were received outside the body than any valid answer has. */
  readonly isFramingExceeded: () => boolean;
}
