import { notifyReaders } from './notify-readers.js';
import type { RunBuffer } from './run-buffer.js';

/** Heap memory that the JavaScript engine uses for a short string besides its characters, bytes. */
const TEXT_OVERHEAD_BYTES = 32;

/**
 * Appends a token to the output of a run and wakes its readers. Drops the oldest tokens while the output is larger than
 * the bound; the last token is always kept.
 *
 * @param reason the finish reason with the last token, otherwise `null`
 * @param maxBytes bound for the output, one byte per character and the overhead of each string
 */
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
