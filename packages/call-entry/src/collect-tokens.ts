import type { IncomingMessage } from 'node:http';
import { createInterface } from 'node:readline';
import { z } from 'zod';
import type { EntryError } from './entry-error.js';
import { parseError } from './parse-error.js';

const tokenSchema = z.object({
  offset: z.number().int(),
  text: z.string(),
  finish_reason: z.string().nullable(),
});

/**
 * Reads the tokens of a streamed response, which must start at `offset` without a gap. `finished` is true only after a token
 * with a finish reason, followed by `[DONE]`. Never rejects.
 */
export async function collectTokens(
  response: IncomingMessage,
  offset: number,
  onToken: (text: string) => void,
): Promise<{ readonly finished: boolean; readonly error?: EntryError }> {
  let nextOffset = offset;
  let hasFinishReason = false;
  try {
    for await (const line of createInterface({ input: response, crlfDelay: Infinity })) {
      if (!line.startsWith('data: ')) continue;
      const data = line.slice('data: '.length);
      if (data === '[DONE]') return { finished: hasFinishReason };
      const error = parseError(response.statusCode ?? 0, data);
      if (error !== undefined) return { finished: false, error };
      const token = tokenSchema.parse(JSON.parse(data));
      if (token.offset !== nextOffset) {
        const detail = `received token ${String(token.offset)} instead of token ${String(nextOffset)}`;
        return { finished: false, error: { kind: 'cut', detail } };
      }
      nextOffset += 1;
      hasFinishReason = token.finish_reason !== null;
      onToken(token.text);
    }
  } catch (error) {
    return { finished: false, error: { kind: 'cut', detail: String(error) } };
  }
  return { finished: false, error: { kind: 'cut', detail: 'the answer ended early' } };
}
