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

/** Collects the tokens of a streamed answer. An answer is finished only with a finish reason and `[DONE]`. */
export async function collectTokens(
  response: IncomingMessage,
  offset: number,
  onToken: (text: string) => void,
): Promise<{ readonly finished: boolean; readonly error?: EntryError }> {
  let next = offset;
  let ended = false;
  try {
    for await (const line of createInterface({ input: response, crlfDelay: Infinity })) {
      if (!line.startsWith('data: ')) continue;
      const data = line.slice('data: '.length);
      if (data === '[DONE]') return { finished: ended };
      const error = parseError(response.statusCode ?? 0, data);
      if (error !== undefined) return { finished: false, error };
      const token = tokenSchema.parse(JSON.parse(data));
      if (token.offset !== next) {
        const detail = `token ${String(token.offset)} in place of ${String(next)}`;
        return { finished: false, error: { kind: 'cut', detail } };
      }
      next += 1;
      ended = token.finish_reason !== null;
      onToken(token.text);
    }
  } catch (error) {
    return { finished: false, error: { kind: 'cut', detail: String(error) } };
  }
  return { finished: false, error: { kind: 'cut', detail: 'the answer ended early' } };
}
