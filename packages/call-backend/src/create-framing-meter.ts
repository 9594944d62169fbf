import type { FramingMeter } from './framing-meter.js';

/** Limit on the bytes of the headers and trailers of one answer, and on invalid bytes: a few times the longest headers. */
const MAX_FRAMING_BYTES = 65_536;
/** Limit on the framing bytes per body byte: a chunk of a single byte has five of them. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;

/** Creates the framing meter of one answer. */
export function createFramingMeter(): FramingMeter {
  let receivedBytes = 0;
  let bodyBytes = 0;
  return {
    setReceivedBytes: (bytes) => {
      receivedBytes = bytes;
    },
    addBodyBytes: (bytes) => {
      bodyBytes += bytes;
    },
    isFramingExceeded: () =>
      receivedBytes - bodyBytes > MAX_FRAMING_BYTES + bodyBytes * MAX_FRAMING_BYTES_PER_BODY_BYTE,
  };
}
