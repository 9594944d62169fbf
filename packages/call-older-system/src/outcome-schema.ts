import { z } from 'zod';

/** Answer of `GET /outcome/KEY`. */
export const OUTCOME_SCHEMA = z.object({ status: z.number().int(), body: z.string() });
