import { z } from 'zod';

const CHANGE = z.tuple([
  z.string().describe('engine'),
  z.string().describe('boot id'),
  z.boolean().describe('cleared'),
  z.array(z.tuple([z.boolean(), z.string(), z.string(), z.number().nonnegative()])),
]);

/** Answer of a relay: changes after the position that was asked for. */
export const RELAY_PAGE = z.object({
  /** Changes when the relay restarted. */
  life: z.string(),
  next: z.number().nonnegative(),
  /** Time on the engines' clock, milliseconds. */
  clockMs: z.number().nullable(),
  /** Engines and stores that the relay follows without a failure now. */
  reading: z.array(z.string()),
  changes: z.array(CHANGE),
});
