import { z } from 'zod';

/** Checks the body of an order. */
export const orderSchema = z.object({
  order_id: z.string(),
  fencing: z.number().int(),
  deadline: z.number(),
  type: z.enum(['load_weights', 'load_adapter', 'set_role']),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
});
