import { z } from 'zod';

/** Traces of a request as the operator endpoint answers them. */
export const TRACE_SCHEMA = z.array(
  z.object({
    requestId: z.string(),
    account: z.string(),
    service: z.string(),
    host: z.string(),
    steps: z.array(
      z.object({ atMs: z.number(), step: z.string(), detail: z.record(z.string(), z.unknown()) }),
    ),
  }),
);
