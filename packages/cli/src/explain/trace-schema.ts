import { z } from 'zod';

/** Response body of `GET /explain/ID`: the traces of one request. `atMs` is in milliseconds since the Unix epoch. */
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
