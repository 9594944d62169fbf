import { z } from 'zod';

/** Value of the platform object `journal-layout/main`. It never changes once it exists. */
export const LAYOUT_SCHEMA = z.object({ shards: z.number().int().min(1) });
