import { z } from 'zod';
import type { EntryError } from './entry-error.js';

const schema = z.object({
  error: z.object({
    code: z.string(),
    outcome: z.enum(['not run', 'ran', 'unknown']),
    retryAfterMs: z.number().optional(),
  }),
});

/** Parses the error body of an entry node; `undefined` when the text is not an error body. */
export function parseError(status: number, text: string): EntryError | undefined {
  try {
    const { error } = schema.parse(JSON.parse(text));
    return { kind: 'refused', status, ...error };
  } catch {
    return undefined;
  }
}
