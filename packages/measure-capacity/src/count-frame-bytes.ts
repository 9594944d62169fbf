import { pack } from 'msgpackr';

/** Counts the bytes of one frame between nodes, with the header of the WebSocket frame. */
export function countFrameBytes(type: string, body: unknown): number {
  const HEADER_BYTES = 8;
  return pack({ id: 1_000_000, type, body }).length + HEADER_BYTES;
}
