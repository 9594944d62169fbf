import * as z from 'zod';

/** Schema of the members of a journal entry that are read. The bench defines their names. */
export const entrySchema = z.object({
  site: z.string(),
  head: z.string(),
  at: z.tuple([z.string(), z.string().min(1, 'the run has not ended')]),
  days: z.array(
    z.object({
      name: z.string(),
      seed: z.number().nullish(),
      G: z.number(),
      rules: z.record(z.string(), z.unknown()),
      fault: z.string().nullish(),
    }),
  ),
});
