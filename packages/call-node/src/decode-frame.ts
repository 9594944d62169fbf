import { unpack } from 'msgpackr';
import { FRAME_SCHEMA } from './frame-schema.js';
import type { Frame } from './frame.js';

/** Decodes a frame from MessagePack; `undefined` when the bytes are not a valid frame. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
  try {
    return FRAME_SCHEMA.safeParse(unpack(bytes)).data;
  } catch {
    return undefined;
  }
}
