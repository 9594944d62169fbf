import { z } from 'zod';

/** Body of `PUT /hosts`: the list and, optionally, the lag from now on. */
export const HOST_SCHEMA = z.strictObject({
  lagMs: z.number().int().min(0).optional(),
  hosts: z.array(
    z.strictObject({
      host: z.string(),
      kind: z.enum(['node', 'engine', 'store', 'service']),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
      address: z.string().optional(),
    }),
  ),
});
