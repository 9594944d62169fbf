import { notifyReaders } from './notify-readers.js';
import type { RunBuffer } from './run-buffer.js';

/** Memory of a short string in the engine's heap besides its characters, bytes. */
const TEXT_OVERHEAD_BYTES = 32;

/** Appends a token and drops the oldest ones above the bound. */
export function appendText(
  run: RunBuffer,
  text: string,
  reason: 'stop' | 'length' | null,
  maxBytes: number,
): void {
  run.texts.push(text);
  run.bytes += text.length + TEXT_OVERHEAD_BYTES;
  run.reason = reason ?? undefined;
  while (run.bytes > maxBytes && run.texts.length > 1) {
    run.bytes -= (run.texts.shift()?.length ?? 0) + TEXT_OVERHEAD_BYTES;
    run.base += 1;
  }
  notifyReaders(run);
}
