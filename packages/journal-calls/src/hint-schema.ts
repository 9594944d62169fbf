import { z } from 'zod';

/**
 * Value of the platform object `journal-hint/SHARD`, which tells where the chain of a shard begins. `first` is the
 * lowest sequence number whose records may still be valid. `last` is a number at or after `first` whose object exists
 * or existed. `clean` is the lowest number whose object may still have to be deleted.
 */
export const HINT_SCHEMA = z.object({ first: z.number(), last: z.number(), clean: z.number() });
