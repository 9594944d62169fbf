import { z } from 'zod';

/**
 * Value of the object `journal-hint/SHARD`. `first` is the lowest sequence number that may hold records in force, `last`
 * one that surely exists or existed after it, `clean` the lowest that may not be deleted yet.
 */
export const HINT_SCHEMA = z.object({ first: z.number(), last: z.number(), clean: z.number() });
