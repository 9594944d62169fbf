import { z } from 'zod';

/** Content of a piece that fake engines export: a stand-in for KV cache that names what it belongs to. */
export const pieceContentSchema = z.object({
  scope: z.string(),
  chain: z.string(),
  weight_version: z.string(),
  text: z.string(),
});
