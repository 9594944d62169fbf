import { z } from 'zod';

const MAX_NAME_LENGTH = 256;
/** Bounds the output of a run, which is buffered on its node. Longer answers are outside the supported models. */
const MAX_OUTPUT_TOKENS = 131_072;

/**
 * Body of `POST /v1/completions`. Unknown fields are refused, because ignoring one could change the meaning of the
 * request.
 */
export const COMPLETION_SCHEMA = z.strictObject({
  service: z.string().min(1).max(MAX_NAME_LENGTH),
  prompt: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
  conversation: z.string().min(1).max(MAX_NAME_LENGTH).optional(),
});
