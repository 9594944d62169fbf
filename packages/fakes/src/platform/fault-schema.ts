import { z } from 'zod';

/** Body of `PUT /faults`: the switches to change. */
export const FAULT_SCHEMA = z.strictObject({
  down: z.boolean().optional(),
  unreachable: z.boolean().optional(),
  silent: z.boolean().optional(),
  slowMs: z.number().int().min(0).optional(),
  loseAnswerAfter: z.number().int().min(-1).optional(),
  loseAnswerBefore: z.number().int().min(-1).optional(),
  lossKind: z.string().optional(),
  muteWatch: z.boolean().optional(),
  staleHosts: z.boolean().optional(),
});
